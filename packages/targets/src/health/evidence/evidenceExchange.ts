import type { Clock, InstanceIdentity, JsonValue, PeerBus } from '@lovagehoist/common'
import { z } from 'zod'
import { WINDOW_MS } from './counts.js'
import type { TargetCounts } from './localEvidence.js'

/** Method by which daemons report what they saw to the judges of a service. */
export const EVIDENCE_METHOD = 'health.evidence'

const reportSchema = z.object({
  service: z.string(),
  sequence: z.int(),
  /** Target, fence, and the tries, failures and slow answers of the long and the short window. */
  counts: z.array(z.tuple([z.string(), z.int(), z.int(), z.int(), z.int(), z.int(), z.int(), z.int()]))
})

/** What one daemon reported about a service. */
export interface EvidenceReport {
  readonly from: InstanceIdentity
  readonly counts: readonly TargetCounts[]
  /** Time since it was received. */
  readonly ageMs: number
}

interface Held extends Omit<EvidenceReport, 'ageMs'> {
  readonly sequence: number
  readonly receivedAtMs: number
}

const CALL_TIMEOUT_MS = 1_000
/** Reports in flight from this daemon at once. */
const MAX_IN_FLIGHT = 24

/** Sends what this daemon saw to the judges of a service, and keeps what others reported to this one. */
export class EvidenceExchange {
  private readonly held = new Map<string, Map<string, Held>>()
  private nextSequence = 1
  private inFlight = 0

  private constructor (private readonly clock: Clock, private readonly bus: PeerBus) {}

  /**
   * Creates an exchange, which answers other daemons.
   *
   * @param clock - Source of time.
   * @param bus - Communication between daemons.
   * @returns The exchange.
   */
  static create (clock: Clock, bus: PeerBus): EvidenceExchange {
    const exchange = new EvidenceExchange(clock, bus)
    bus.handle(EVIDENCE_METHOD, async (params, from) => exchange.take(params, from))
    return exchange
  }

  /** Reports to the judges of a service; what can't be sent is dropped, the next report covers it. */
  send (service: string, counts: readonly TargetCounts[], judges: readonly string[]): void {
    const params = {
      service,
      sequence: this.nextSequence++,
      counts: counts.map(({ targetId, fence, long, short }) => [targetId, fence, long.tries, long.failures, long.slow, short.tries, short.failures, short.slow])
    }
    for (const judge of judges) {
      if (judge === this.bus.self.instanceId || this.inFlight >= MAX_IN_FLIGHT) continue
      this.inFlight++
      this.bus.call(judge, EVIDENCE_METHOD, params as unknown as JsonValue, CALL_TIMEOUT_MS)
        .then(() => { this.inFlight-- }, () => { this.inFlight-- })
    }
  }

  /** Reports of other daemons about a service that are still within the window. */
  reports (service: string): readonly EvidenceReport[] {
    const nowMs = this.clock.monotonicMs()
    const reports = this.held.get(service)
    if (reports === undefined) return []
    for (const [origin, report] of reports) if (nowMs - report.receivedAtMs >= WINDOW_MS) reports.delete(origin)
    if (reports.size === 0) this.held.delete(service)
    return [...reports.values()].map(({ from, counts, receivedAtMs }) => ({ from, counts, ageMs: nowMs - receivedAtMs }))
  }

  /** Services that other daemons reported about. */
  services (): readonly string[] {
    return [...this.held.keys()]
  }

  private take (params: JsonValue, from: InstanceIdentity): JsonValue {
    const parsed = reportSchema.safeParse(params)
    if (!parsed.success) return {}
    const { service, sequence } = parsed.data
    const counts = parsed.data.counts.map(([targetId, fence, tries, failures, slow, shortTries, shortFailures, shortSlow]) => ({
      targetId, fence, long: { tries, failures, slow }, short: { tries: shortTries, failures: shortFailures, slow: shortSlow }
    }))
    const reports = this.held.get(service) ?? new Map<string, Held>()
    const before = reports.get(from.instanceId)
    if (before?.from.startId === from.startId && before.sequence > sequence) return {}
    reports.set(from.instanceId, { from, counts, sequence, receivedAtMs: this.clock.monotonicMs() })
    this.held.set(service, reports)
    return {}
  }
}
