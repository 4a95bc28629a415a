import type { Member, GossipTopic } from '@lovagehoist/common'
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { MethodName, RefusalReason } from '../wire/messages.js'

/** What the gauges read when metrics are scraped. */
export interface PeerGauges {
  readonly statuses: () => ReadonlyMap<Member['status'], number>
  readonly bytesPerSecond: () => number
}

/** Counters of communication between daemons. */
export class PeerMetrics {
  private readonly bytes: Counter<'direction' | 'method'>
  private readonly entryBytes: Counter<'class'>
  private readonly dropped: Counter<'class'>
  private readonly refused: Counter<'reason'>
  private readonly exchanges: Counter<'result'>
  private readonly refusals = new Map<string, number>()

  private constructor (registry: Registry) {
    const registers = [registry]
    this.bytes = new Counter({ name: 'lovagehoist_peer_bytes_total', help: 'Bytes between daemons.', labelNames: ['direction', 'method'], registers })
    this.entryBytes = new Counter({ name: 'lovagehoist_peer_entry_bytes_total', help: 'Bytes of entries sent.', labelNames: ['class'], registers })
    this.dropped = new Counter({ name: 'lovagehoist_peer_dropped_total', help: 'Entries dropped for lack of budget.', labelNames: ['class'], registers })
    this.refused = new Counter({ name: 'lovagehoist_peer_refused_total', help: 'Messages refused.', labelNames: ['reason'], registers })
    this.exchanges = new Counter({ name: 'lovagehoist_peer_exchanges_total', help: 'Exchanges that this daemon began.', labelNames: ['result'], registers })
  }

  /**
   * Creates the counters.
   *
   * @param registry - Registry of this daemon.
   * @returns The counters.
   */
  static create (registry: Registry): PeerMetrics {
    return new PeerMetrics(registry)
  }

  /** Adds gauges that are read when metrics are scraped. */
  watch (registry: Registry, gauges: PeerGauges): void {
    const registers = [registry]
    const members: Gauge<'status'> = new Gauge({
      name: 'lovagehoist_peer_members',
      help: 'Other daemons by status.',
      labelNames: ['status'],
      registers,
      collect: () => { for (const [status, count] of gauges.statuses()) members.set({ status }, count) }
    })
    const rate: Gauge = new Gauge({
      name: 'lovagehoist_peer_bytes_per_second',
      help: 'Bytes a second between this daemon and others, both directions, over ten seconds.',
      registers,
      collect: () => { rate.set(gauges.bytesPerSecond()) }
    })
  }

  /** Counts bytes that were sent or received. */
  moved (direction: 'sent' | 'received', method: MethodName | 'answer', bytes: number): void {
    this.bytes.inc({ direction, method }, bytes)
  }

  /** Counts an entry that was sent. */
  spread (topic: GossipTopic, bytes: number): void {
    this.entryBytes.inc({ class: topic }, bytes)
  }

  /** Counts an entry that did not fit. */
  drop (topic: GossipTopic): void {
    this.dropped.inc({ class: topic })
  }

  /** Counts a message that was refused. */
  refuse (reason: RefusalReason | 'stranger'): void {
    this.refused.inc({ reason })
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1)
  }

  /** Counts an exchange that this daemon began. */
  exchanged (result: 'answered' | 'unreachable' | 'rejected'): void {
    this.exchanges.inc({ result })
  }

  /** Refused messages by reason. */
  refusalCounts (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.refusals)
  }
}
