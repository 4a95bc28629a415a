import type { Member, GossipTopic } from '@lovagehoist/common'
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { MethodName, RefusalReason } from '../wire/messages.js'

/** Sources of the gauges, read when metrics are scraped. */
export interface PeerGauges {
  readonly statuses: () => ReadonlyMap<Member['status'], number>
  readonly bytesPerSecond: () => number
}

/** Metrics of the communication between daemons. */
export class PeerMetrics {
  private readonly bytesCounter: Counter<'direction' | 'method'>
  private readonly entryBytesCounter: Counter<'class'>
  private readonly droppedCounter: Counter<'class'>
  private readonly refusedCounter: Counter<'reason'>
  private readonly exchangesCounter: Counter<'result'>
  private readonly refusalsByReason = new Map<string, number>()

  private constructor (registry: Registry) {
    const registers = [registry]
    this.bytesCounter = new Counter({ name: 'lovagehoist_peer_bytes_total', help: 'Bytes between daemons.', labelNames: ['direction', 'method'], registers })
    this.entryBytesCounter = new Counter({ name: 'lovagehoist_peer_entry_bytes_total', help: 'Bytes of entries sent.', labelNames: ['class'], registers })
    this.droppedCounter = new Counter({ name: 'lovagehoist_peer_dropped_total', help: 'Entries dropped for lack of budget.', labelNames: ['class'], registers })
    this.refusedCounter = new Counter({ name: 'lovagehoist_peer_refused_total', help: 'Messages refused.', labelNames: ['reason'], registers })
    this.exchangesCounter = new Counter({ name: 'lovagehoist_peer_exchanges_total', help: 'Exchanges that this daemon began.', labelNames: ['result'], registers })
  }

  /**
   * Creates and registers the counters.
   *
   * @param registry - Metrics registry of this daemon.
   * @returns The metrics.
   */
  static create (registry: Registry): PeerMetrics {
    return new PeerMetrics(registry)
  }

  /** Registers gauges that are read when metrics are scraped. */
  registerGauges (registry: Registry, gauges: PeerGauges): void {
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

  /** Counts bytes sent or received; `answer` stands for requests of others and the answers to them. */
  countBytes (direction: 'sent' | 'received', method: MethodName | 'answer', bytes: number): void {
    this.bytesCounter.inc({ direction, method }, bytes)
  }

  /** Counts the bytes of an entry that was sent. */
  countSentEntry (topic: GossipTopic, bytes: number): void {
    this.entryBytesCounter.inc({ class: topic }, bytes)
  }

  /** Counts an entry that was dropped for lack of byte budget or outbox space. */
  countDroppedEntry (topic: GossipTopic): void {
    this.droppedCounter.inc({ class: topic })
  }

  /** Counts a refused message. */
  countRefusal (reason: RefusalReason | 'stranger'): void {
    this.refusedCounter.inc({ reason })
    this.refusalsByReason.set(reason, (this.refusalsByReason.get(reason) ?? 0) + 1)
  }

  /** Counts an exchange that this daemon started. */
  countExchange (result: 'answered' | 'unreachable' | 'rejected'): void {
    this.exchangesCounter.inc({ result })
  }

  /** Number of refused messages by reason. */
  refusalCounts (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.refusalsByReason)
  }
}
