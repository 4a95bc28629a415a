import type { JsonValue } from '@lovagehoist/common'
import type { Caller, CallerResult } from '../load/caller.js'
import { measuredDocument } from './documents.js'
import type { Fleet } from './fleet.js'

const PROBE_INTERVAL_MS = 10
const PROBE_TIMEOUT_MS = 500
const SERVICE = 'burnbook'
/** Number of documents before the newest one that are probed as well. */
const EARLIER_DOCUMENTS = 1

/** Builds a document whose only route contains its number, so that a successful response shows which document a daemon applies. */
export const numberedDocument = (number: number, targets: number, slots: number): JsonValue => {
  const document = measuredDocument({ [SERVICE]: { plannedTargets: targets, slotsPerTarget: slots, floorSlots: slots } }) as { readonly [field: string]: JsonValue }
  return { ...document, routes: [{ id: `numbered-${number}`, methods: ['GET'], path: `/numbered/${number}/*`, service: SERVICE, isIdempotent: true }] }
}

/** Probe results of one daemon. */
interface ProbedDaemon {
  readonly id: string
  readonly url: string
  /** Number of the newest document that the daemon has served, and the monotonic time of the first such response. */
  servedNumber: number
  servedSinceMs: number
}

/** Probes each daemon continuously for the document that it applies. */
export class PromoteProbe {
  private readonly daemons = new Map<string, ProbedDaemon>()
  readonly results: CallerResult[] = []
  /** Number of responses by an older document than the daemon had served before. */
  reverts = 0
  /** Responses by a document older than the one that had been reported in force before the request was sent. */
  staleAnswers = 0
  /** Number of the newest document that was reported in force. */
  reportedNumber = 0
  private nextProbe = 0

  constructor (private readonly fleet: Fleet, private readonly caller: Caller, private readonly newestNumber: () => number) {}

  /** Probes every daemon of the fleet until stopped, including those added while it runs. */
  async run (signal: AbortSignal): Promise<void> {
    const probes = new Map<string, Promise<void>>()
    while (!signal.aborted) {
      for (const daemon of this.fleet.daemons) {
        if (probes.has(daemon.id)) continue
        const url = `http://127.0.0.1:${(await daemon.ports).callers}`
        const probed: ProbedDaemon = { id: daemon.id, url, servedNumber: 0, servedSinceMs: 0 }
        this.daemons.set(daemon.id, probed)
        probes.set(daemon.id, this.probeUntilStopped(probed, signal))
      }
      await this.fleet.clock.sleepMs(PROBE_INTERVAL_MS, signal)
    }
    await Promise.all(probes.values())
  }

  /**
   * Waits until daemons serve a document or a newer one.
   *
   * @param number - Number of the document.
   * @param isExpected - Whether a daemon has to serve it.
   * @param timeoutMs - Longest wait.
   * @returns Monotonic time at which the last daemon first served it; undefined after a timeout.
   */
  async waitUntilServed (number: number, isExpected: (id: string) => boolean, timeoutMs: number): Promise<number | undefined> {
    const { clock } = this.fleet
    const deadlineMs = clock.monotonicMs() + timeoutMs
    while (clock.monotonicMs() < deadlineMs) {
      const expected = [...this.daemons.values()].filter(({ id }) => isExpected(id))
      if (expected.every(daemon => daemon.servedNumber >= number)) return Math.max(...expected.map(({ servedSinceMs }) => servedSinceMs))
      await clock.sleepMs(PROBE_INTERVAL_MS)
    }
    return undefined
  }

  private async probeUntilStopped (daemon: ProbedDaemon, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const newest = this.newestNumber()
      for (let number = newest; number >= Math.max(1, newest - EARLIER_DOCUMENTS); number--) await this.probe(daemon, number)
      await this.fleet.clock.sleepMs(PROBE_INTERVAL_MS, signal)
    }
  }

  private async probe (daemon: ProbedDaemon, number: number): Promise<void> {
    const { clock } = this.fleet
    const reportedNumber = this.reportedNumber
    const runId = `${daemon.id}-${number}-${this.nextProbe++}`
    const result = await this.caller.send({ baseUrl: daemon.url, method: 'GET', path: `/numbered/${number}/x`, runId, timeoutMs: PROBE_TIMEOUT_MS })
    this.results.push(result)
    if (result.status !== 200 || result.verdict !== 'ran') return
    if (number < reportedNumber) this.staleAnswers++
    if (number < daemon.servedNumber) this.reverts++
    if (number <= daemon.servedNumber) return
    daemon.servedNumber = number
    daemon.servedSinceMs = clock.monotonicMs()
  }
}
