import type { Clock, JsonValue, Random, GossipEntry, GossipTopic } from '@lovagehoist/common'
import type { ByteBudget } from '../budget/byteBudget.js'
import type { PeerMetrics } from '../bus/peerMetrics.js'
import type { MemberTable } from '../membership/memberTable.js'
import { SPREAD_CLASSES } from '../wire/messages.js'
import type { WireEntry } from '../wire/messages.js'
import { EntryStore } from './entryStore.js'
import type { HeldEntry } from './entryStore.js'
import { Outbox } from './outbox.js'

/** Partners that a new entry is passed to at once. */
const FAN_OUT: Readonly<Record<GossipTopic, number>> = {
  config: 7, membership: 3, ejection: 7, leaving: 5, poison: 5, evidence: 4, load: 3
}

/** Classes that are dropped when they do not fit, instead of waiting for the next message. */
const IS_DROPPED: Readonly<Record<GossipTopic, boolean>> = {
  config: false, membership: false, ejection: false, leaving: false, poison: false, evidence: true, load: true
}

const MAX_WAITING = 2_000
const MAX_ENTRIES_BYTES = 24_000

/** What the spreader needs. */
export interface SpreaderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly budget: ByteBudget
  readonly metrics: PeerMetrics
  readonly members: MemberTable
}

/** Entries chosen for one message. */
export interface Batch {
  readonly held: readonly HeldEntry[]
  readonly wire: readonly WireEntry[]
}

/** Holds entries, tells listeners of new ones and passes them on. */
export class Spreader {
  readonly store: EntryStore
  private readonly outboxes = new Map<string, Outbox>()
  private readonly listeners = new Map<GossipTopic, Set<(entry: GossipEntry) => void>>()
  private nextSequence = 1

  private constructor (private readonly options: SpreaderOptions) {
    this.store = EntryStore.create(options.clock)
  }

  /**
   * Creates a spreader that holds nothing.
   *
   * @param options - Time, randomness, budget, counters and members.
   * @returns The spreader.
   */
  static create (options: SpreaderOptions): Spreader {
    return new Spreader(options)
  }

  /** Opens the outbox of a partner. */
  open (instanceId: string): Outbox {
    const outbox = Outbox.create(MAX_WAITING, topic => { this.options.metrics.drop(topic) })
    this.outboxes.set(instanceId, outbox)
    return outbox
  }

  /** Closes the outbox of a former partner. */
  close (instanceId: string, outbox: Outbox): void {
    if (this.outboxes.get(instanceId) === outbox) this.outboxes.delete(instanceId)
  }

  /** Publishes a value of this process. */
  publish (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number): HeldEntry | undefined {
    const wire: WireEntry = [this.options.members.selfRef, SPREAD_CLASSES.indexOf(topic), key, this.nextSequence++, 0, lifetimeMs, value]
    return this.take(wire, undefined)
  }

  /** Takes an entry, tells listeners and passes it on. */
  take (wire: WireEntry, fromId: string | undefined): HeldEntry | undefined {
    const held = this.store.accept(wire)
    if (held === undefined) return undefined
    const shared = this.toShared(held)
    if (shared === undefined) return undefined
    for (const listener of this.listeners.get(held.topic) ?? []) listener(shared)
    for (const instanceId of this.drawPartners(held.topic, fromId)) this.outboxes.get(instanceId)?.add(held)
    return held
  }

  /** Queues entries for one partner. */
  queue (instanceId: string, entries: readonly HeldEntry[]): void {
    for (const entry of entries) this.outboxes.get(instanceId)?.add(entry)
  }

  /** Watches a class. */
  onEntry (topic: GossipTopic, listener: (entry: GossipEntry) => void): () => void {
    const listeners = this.listeners.get(topic) ?? new Set()
    this.listeners.set(topic, listeners.add(listener))
    return () => { listeners.delete(listener) }
  }

  /** Entries of a class whose origin is known. */
  entries (topic: GossipTopic): readonly GossipEntry[] {
    return this.store.ofTopic(topic).flatMap(held => this.toShared(held) ?? [])
  }

  /**
   * Chooses what a message to a member carries; what does not fit is dropped or waits, by its class.
   *
   * @param instanceId - Receiver.
   * @param roomPercent - Free share of the receiver's budget.
   * @returns The entries; they stay in the outbox until `sent`.
   */
  batch (instanceId: string, roomPercent: number): Batch {
    const outbox = this.outboxes.get(instanceId)
    if (outbox === undefined) return { held: [], wire: [] }
    const stale = outbox.ordered().filter(entry => !this.store.isCurrent(entry))
    outbox.remove(stale)
    const { held, dropped } = this.fit(outbox.ordered(), roomPercent)
    outbox.remove(dropped)
    for (const { topic } of dropped) this.options.metrics.drop(topic)
    return { held, wire: held.map(entry => this.store.toWire(entry)) }
  }

  /** Takes entries that arrived at a member out of its outbox. */
  sent (instanceId: string, { held }: Batch): void {
    this.outboxes.get(instanceId)?.remove(held)
    for (const { topic, bytes } of held) this.options.metrics.spread(topic, bytes)
  }

  /**
   * Chooses those of some entries that fit into one message.
   *
   * @param entries - Entries, most important first.
   * @param roomPercent - Free share of the receiver's budget.
   * @returns Those that fit, and those that are dropped.
   */
  fit (entries: readonly HeldEntry[], roomPercent: number): { readonly held: readonly HeldEntry[], readonly dropped: readonly HeldEntry[] } {
    const held: HeldEntry[] = []
    const dropped: HeldEntry[] = []
    let bytes = 0
    for (const entry of entries) {
      const limit = Math.min(MAX_ENTRIES_BYTES, this.options.budget.allowance(entry.topic, roomPercent))
      if (bytes + entry.bytes <= limit) {
        held.push(entry)
        bytes += entry.bytes
      } else if (IS_DROPPED[entry.topic]) dropped.push(entry)
    }
    return { held, dropped }
  }

  private drawPartners (topic: GossipTopic, fromId: string | undefined): readonly string[] {
    const left = [...this.outboxes.keys()].filter(instanceId => instanceId !== fromId)
    const drawn: string[] = []
    while (drawn.length < FAN_OUT[topic] && left.length > 0) drawn.push(...left.splice(this.options.random.int(left.length), 1))
    return drawn
  }

  private toShared (held: HeldEntry): GossipEntry | undefined {
    const { topic, key, sequence, value } = held
    const origin = this.options.members.identityOf(held.ref)
    return origin === undefined ? undefined : { topic, key, origin, sequence, value, ageMs: this.store.ageMs(held) }
  }
}
