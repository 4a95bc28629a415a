import type { Clock, JsonValue, Random, GossipEntry, GossipTopic } from '@lovagehoist/common'
import type { ByteBudget } from '../budget/byteBudget.js'
import type { PeerMetrics } from '../bus/peerMetrics.js'
import type { MemberTable } from '../membership/memberTable.js'
import { GOSSIP_TOPICS } from '../wire/messages.js'
import type { WireEntry } from '../wire/messages.js'
import { EntryStore } from './entryStore.js'
import type { StoredEntry } from './entryStore.js'
import { Outbox } from './outbox.js'

/** Number of partners that a new entry is queued for. */
const FAN_OUT: Readonly<Record<GossipTopic, number>> = {
  config: 7, membership: 3, ejection: 7, leaving: 5, poison: 5, evidence: 4, load: 3
}

/** Topics whose entries are dropped when they do not fit into a message, instead of staying queued for the next one. */
const DROPPED_UNLESS_FITTING: Readonly<Record<GossipTopic, boolean>> = {
  config: false, membership: false, ejection: false, leaving: false, poison: false, evidence: true, load: true
}

const MAX_OUTBOX_ENTRIES = 2_000
const MAX_ENTRIES_BYTES = 24_000

/** Options of a spreader. */
export interface SpreaderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly budget: ByteBudget
  readonly metrics: PeerMetrics
  readonly members: MemberTable
}

/** Entries chosen for one message, as stored and as sent. */
export interface Batch {
  readonly stored: readonly StoredEntry[]
  readonly wire: readonly WireEntry[]
}

/** Stores gossip entries, notifies listeners of new ones and forwards them to partners. */
export class Spreader {
  readonly store: EntryStore
  private readonly outboxes = new Map<string, Outbox>()
  private readonly listeners = new Map<GossipTopic, Set<(entry: GossipEntry) => void>>()
  private nextSequence = 1

  private constructor (private readonly options: SpreaderOptions) {
    this.store = EntryStore.create(options.clock)
  }

  /**
   * Creates a spreader without entries.
   *
   * @param options - Clock, randomness, byte budget, metrics and member table.
   * @returns The spreader.
   */
  static create (options: SpreaderOptions): Spreader {
    return new Spreader(options)
  }

  /** Opens the outbox of a new partner. */
  openOutbox (instanceId: string): Outbox {
    const outbox = Outbox.create(MAX_OUTBOX_ENTRIES, topic => { this.options.metrics.countDroppedEntry(topic) })
    this.outboxes.set(instanceId, outbox)
    return outbox
  }

  /** Closes the outbox of a former partner. */
  closeOutbox (instanceId: string, outbox: Outbox): void {
    if (this.outboxes.get(instanceId) === outbox) this.outboxes.delete(instanceId)
  }

  /** Publishes a value with this process as origin. */
  publish (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number): StoredEntry | undefined {
    const wire: WireEntry = [this.options.members.selfRef, GOSSIP_TOPICS.indexOf(topic), key, this.nextSequence++, 0, lifetimeMs, value]
    return this.accept(wire, undefined)
  }

  /** Stores an entry; if it is new and its origin is known, notifies listeners and forwards it to partners other than its sender. */
  accept (wire: WireEntry, fromId: string | undefined): StoredEntry | undefined {
    const stored = this.store.accept(wire)
    if (stored === undefined) return undefined
    const gossipEntry = this.toGossipEntry(stored)
    if (gossipEntry === undefined) return undefined
    for (const listener of this.listeners.get(stored.topic) ?? []) listener(gossipEntry)
    for (const instanceId of this.pickPartners(stored.topic, fromId)) this.outboxes.get(instanceId)?.add(stored)
    return stored
  }

  /** Queues entries for one partner. */
  enqueue (instanceId: string, entries: readonly StoredEntry[]): void {
    for (const entry of entries) this.outboxes.get(instanceId)?.add(entry)
  }

  /** Registers a listener for new entries of a topic; returns a function that removes it. */
  onEntry (topic: GossipTopic, listener: (entry: GossipEntry) => void): () => void {
    const listeners = this.listeners.get(topic) ?? new Set()
    this.listeners.set(topic, listeners.add(listener))
    return () => { listeners.delete(listener) }
  }

  /** Unexpired entries of a topic whose origin is known. */
  entries (topic: GossipTopic): readonly GossipEntry[] {
    return this.store.ofTopic(topic).flatMap(stored => this.toGossipEntry(stored) ?? [])
  }

  /**
   * Chooses the entries for one message to a partner; those that do not fit are dropped or stay queued, by topic.
   *
   * @param instanceId - Instance id of the receiver.
   * @param freeBudgetPercent - Free share of the receiver's byte budget.
   * @returns The entries; they stay in the outbox until `confirmSent`.
   */
  createBatch (instanceId: string, freeBudgetPercent: number): Batch {
    const outbox = this.outboxes.get(instanceId)
    if (outbox === undefined) return { stored: [], wire: [] }
    const stale = outbox.ordered().filter(entry => !this.store.isCurrent(entry))
    outbox.remove(stale)
    const { fitting, dropped } = this.selectFitting(outbox.ordered(), freeBudgetPercent)
    outbox.remove(dropped)
    for (const { topic } of dropped) this.options.metrics.countDroppedEntry(topic)
    return { stored: fitting, wire: fitting.map(entry => this.store.toWire(entry)) }
  }

  /** Removes delivered entries from the outbox of a partner. */
  confirmSent (instanceId: string, { stored }: Batch): void {
    this.outboxes.get(instanceId)?.remove(stored)
    for (const { topic, bytes } of stored) this.options.metrics.countSentEntry(topic, bytes)
  }

  /**
   * Selects the entries that fit into one message.
   *
   * @param entries - Candidates, most important first.
   * @param freeBudgetPercent - Free share of the receiver's byte budget.
   * @returns Entries that fit, and entries to drop; the others stay queued.
   */
  selectFitting (entries: readonly StoredEntry[], freeBudgetPercent: number): { readonly fitting: readonly StoredEntry[], readonly dropped: readonly StoredEntry[] } {
    const fitting: StoredEntry[] = []
    const dropped: StoredEntry[] = []
    let bytes = 0
    for (const entry of entries) {
      const limit = Math.min(MAX_ENTRIES_BYTES, this.options.budget.allowance(entry.topic, freeBudgetPercent))
      if (bytes + entry.bytes <= limit) {
        fitting.push(entry)
        bytes += entry.bytes
      } else if (DROPPED_UNLESS_FITTING[entry.topic]) dropped.push(entry)
    }
    return { fitting, dropped }
  }

  private pickPartners (topic: GossipTopic, fromId: string | undefined): readonly string[] {
    const remaining = [...this.outboxes.keys()].filter(instanceId => instanceId !== fromId)
    const picked: string[] = []
    while (picked.length < FAN_OUT[topic] && remaining.length > 0) picked.push(...remaining.splice(this.options.random.int(remaining.length), 1))
    return picked
  }

  private toGossipEntry (stored: StoredEntry): GossipEntry | undefined {
    const { topic, key, sequence, value } = stored
    const origin = this.options.members.identityOf(stored.ref)
    return origin === undefined ? undefined : { topic, key, origin, sequence, value, ageMs: this.store.ageMs(stored) }
  }
}
