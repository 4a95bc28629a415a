import type { Clock, InstanceIdentity, JsonValue, PeerBus } from '@lovagehoist/common'
import { z } from 'zod'
import { LONG_WINDOW_MS } from './outcomeCounts.js'
import type { TargetCounts } from './localEvidence.js'

/** Peer method by which daemons report their evidence to the outlier detectors of a service. */
export const EVIDENCE_METHOD = 'health.evidence'

const reportSchema = z.object({
  service: z.string(),
  sequence: z.int(),
  /** Target id, fence, then attempts, failures and slow responses of the long and of the short window. */
  counts: z.array(z.tuple([z.string(), z.int(), z.int(), z.int(), z.int(), z.int(), z.int(), z.int()]))
})

/** Latest report of one daemon about a service. */
export interface EvidenceReport {
  readonly from: InstanceIdentity
  readonly counts: readonly TargetCounts[]
  /** Time since the report was received, in milliseconds. */
  readonly ageMs: number
}

interface ReceivedReport extends Omit<EvidenceReport, 'ageMs'> {
  readonly sequence: number
  readonly receivedAtMs: number
}

const CALL_TIMEOUT_MS = 1_000
/** Largest number of reports that this daemon sends concurrently. */
const MAX_IN_FLIGHT = 24

/** Sends this daemon's evidence to the outlier detectors of a service, and keeps the reports received from other daemons. */
export class EvidenceExchange {
  private readonly received = new Map<string, Map<string, ReceivedReport>>()
  private nextSequence = 1
  private inFlight = 0

  private constructor (private readonly clock: Clock, private readonly bus: PeerBus) {}

  /**
   * Creates an exchange and registers the handler for reports of other daemons.
   *
   * @param clock - Source of time.
   * @param bus - Messaging and membership between daemons.
   * @returns The exchange.
   */
  static create (clock: Clock, bus: PeerBus): EvidenceExchange {
    const exchange = new EvidenceExchange(clock, bus)
    bus.handle(EVIDENCE_METHOD, async (params, from) => exchange.handleReport(params, from))
    return exchange
  }

  /** Sends a report to other daemons. A report that can't be sent is dropped: the next one covers the same window. */
  send (service: string, counts: readonly TargetCounts[], recipients: readonly string[]): void {
    const params = {
      service,
      sequence: this.nextSequence++,
      counts: counts.map(({ targetId, fence, long, short }) => [targetId, fence, long.attempts, long.failures, long.slow, short.attempts, short.failures, short.slow])
    }
    for (const recipient of recipients) {
      if (recipient === this.bus.self.instanceId || this.inFlight >= MAX_IN_FLIGHT) continue
      this.inFlight++
      this.bus.call(recipient, EVIDENCE_METHOD, params as unknown as JsonValue, CALL_TIMEOUT_MS)
        .then(() => { this.inFlight-- }, () => { this.inFlight-- })
    }
  }

  /** Reports of other daemons about a service that were received within the long window. */
  reports (service: string): readonly EvidenceReport[] {
    const nowMs = this.clock.monotonicMs()
    const reports = this.received.get(service)
    if (reports === undefined) return []
    for (const [origin, report] of reports) if (nowMs - report.receivedAtMs >= LONG_WINDOW_MS) reports.delete(origin)
    if (reports.size === 0) this.received.delete(service)
    return [...reports.values()].map(({ from, counts, receivedAtMs }) => ({ from, counts, ageMs: nowMs - receivedAtMs }))
  }

  /** Services with reports of other daemons. */
  services (): readonly string[] {
    return [...this.received.keys()]
  }

  private handleReport (params: JsonValue, from: InstanceIdentity): JsonValue {
    const parsed = reportSchema.safeParse(params)
    if (!parsed.success) return {}
    const { service, sequence } = parsed.data
    const counts = parsed.data.counts.map(([targetId, fence, attempts, failures, slow, shortAttempts, shortFailures, shortSlow]) => ({
      targetId, fence, long: { attempts, failures, slow }, short: { attempts: shortAttempts, failures: shortFailures, slow: shortSlow }
    }))
    const reports = this.received.get(service) ?? new Map<string, ReceivedReport>()
    const previous = reports.get(from.instanceId)
    if (previous?.from.startId === from.startId && previous.sequence > sequence) return {}
    reports.set(from.instanceId, { from, counts, sequence, receivedAtMs: this.clock.monotonicMs() })
    this.received.set(service, reports)
    return {}
  }
}
