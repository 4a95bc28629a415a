import type { JsonValue } from '@lovagehoist/common'
import type { Caller, CallerResult } from '../load/caller.js'
import { measuredDocument } from './documents.js'
import type { Fleet } from './fleet.js'

const PROBE_PAUSE_MS = 10
const PROBE_TIMEOUT_MS = 500
const SERVICE = 'burnbook'
/** Numbers before the newest one that are asked for as well. */
const EARLIER_NUMBERS = 1

/** A document whose only route carries its number, so that an answer shows by which document it was made. */
export const numberedDocument = (number: number, targets: number, slots: number): JsonValue => {
  const document = measuredDocument({ [SERVICE]: { plannedTargets: targets, slotsPerTarget: slots, floorSlots: slots } }) as { readonly [field: string]: JsonValue }
  return { ...document, routes: [{ id: `numbered-${number}`, methods: ['GET'], path: `/numbered/${number}/*`, service: SERVICE, isIdempotent: true }] }
}

/** What was seen of one daemon. */
interface Seen {
  readonly id: string
  readonly url: string
  /** Number of the newest document that it answered by, and when it first did. */
  number: number
  sinceMs: number
}

/** Asks each daemon again and again by which document it answers. */
export class PromoteProbe {
  private readonly seen = new Map<string, Seen>()
  readonly results: CallerResult[] = []
  reverts = 0
  /** Answers by a document older than one that had been reported in force before the request was sent. */
  staleAnswers = 0
  /** Number of the newest document that was reported in force. */
  reportedNumber = 0
  private nextNumber = 0

  constructor (private readonly fleet: Fleet, private readonly caller: Caller, private readonly newestNumber: () => number) {}

  /** Probes every daemon until stopped; daemons that start later have to be added. */
  async run (signal: AbortSignal): Promise<void> {
    const tasks = new Map<string, Promise<void>>()
    while (!signal.aborted) {
      for (const daemon of this.fleet.daemons) {
        if (tasks.has(daemon.id)) continue
        const url = `http://127.0.0.1:${(await daemon.ports).callers}`
        const seen: Seen = { id: daemon.id, url, number: 0, sinceMs: 0 }
        this.seen.set(daemon.id, seen)
        tasks.set(daemon.id, this.follow(seen, signal))
      }
      await this.fleet.clock.sleepMs(PROBE_PAUSE_MS, signal)
    }
    await Promise.all(tasks.values())
  }

  /**
   * Waits until daemons answer by a document.
   *
   * @param number - Number of the document.
   * @param isLive - Which daemons have to.
   * @param limitMs - Longest wait.
   * @returns Monotonic time of the last one's first answer; undefined when not all did in time.
   */
  async answeredBy (number: number, isLive: (id: string) => boolean, limitMs: number): Promise<number | undefined> {
    const { clock } = this.fleet
    const endsAtMs = clock.monotonicMs() + limitMs
    while (clock.monotonicMs() < endsAtMs) {
      const live = [...this.seen.values()].filter(({ id }) => isLive(id))
      if (live.every(seen => seen.number >= number)) return Math.max(...live.map(({ sinceMs }) => sinceMs))
      await clock.sleepMs(PROBE_PAUSE_MS)
    }
    return undefined
  }

  private async follow (seen: Seen, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const newest = this.newestNumber()
      for (let number = newest; number >= Math.max(1, newest - EARLIER_NUMBERS); number--) await this.ask(seen, number)
      await this.fleet.clock.sleepMs(PROBE_PAUSE_MS, signal)
    }
  }

  private async ask (seen: Seen, number: number): Promise<void> {
    const { clock } = this.fleet
    const reportedNumber = this.reportedNumber
    const runId = `${seen.id}-${number}-${this.nextNumber++}`
    const result = await this.caller.send({ baseUrl: seen.url, method: 'GET', path: `/numbered/${number}/x`, runId, timeoutMs: PROBE_TIMEOUT_MS })
    this.results.push(result)
    if (result.status !== 200 || result.verdict !== 'ran') return
    if (number < reportedNumber) this.staleAnswers++
    if (number < seen.number) this.reverts++
    if (number <= seen.number) return
    seen.number = number
    seen.sinceMs = clock.monotonicMs()
  }
}
