import { murmurHash } from '@lovagehoist/common'
import type { Clock, JsonValue, GossipTopic } from '@lovagehoist/common'
import { encodedBytes } from '../wire/codec.js'
import { GOSSIP_TOPICS } from '../wire/messages.js'
import type { WireEntry } from '../wire/messages.js'

/** An entry as stored by this daemon. */
export interface StoredEntry {
  /** Origin, topic and key in one string. */
  readonly id: string
  /** Ref of the origin process. */
  readonly ref: number
  readonly topic: GossipTopic
  readonly key: string
  readonly sequence: number
  readonly value: JsonValue
  readonly lifetimeMs: number
  /** Publication time on this daemon's monotonic clock; too late by the time that messages were in transit. */
  readonly publishedAtMs: number
  /** Encoded size in a message. */
  readonly bytes: number
}

/** Minimum lifetime of entries repaired by anti-entropy; shorter-lived ones are republished by their origin anyway. */
export const MIN_REPAIRED_LIFETIME_MS = 20_000

/** Time for which the sequence of an expired entry is kept, so that a delayed older entry is rejected. */
const SEQUENCE_RETENTION_MS = 120_000
const HASH_MODULUS = 0x100000000

const idOf = (ref: number, topic: GossipTopic, key: string): string => `${ref}/${topic}/${key}`

/** Stores the newest entry of each origin, topic and key. */
export class EntryStore {
  private readonly byRef = new Map<number, Map<string, StoredEntry>>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an empty store.
   *
   * @param clock - Source of time.
   * @returns The store.
   */
  static create (clock: Clock): EntryStore {
    return new EntryStore(clock)
  }

  /**
   * Stores an entry if it is new.
   *
   * @param wire - Entry as received.
   * @returns The stored entry; undefined if it has expired or its sequence is not higher than the known one.
   */
  accept (wire: WireEntry): StoredEntry | undefined {
    const [ref, topicIndex, key, sequence, ageMs, lifetimeMs, value] = wire
    const topic = GOSSIP_TOPICS[topicIndex]
    if (topic === undefined || ageMs >= lifetimeMs) return undefined
    const id = idOf(ref, topic, key)
    const entries = this.byRef.get(ref) ?? new Map<string, StoredEntry>()
    if (sequence <= (entries.get(id)?.sequence ?? 0)) return undefined
    const stored: StoredEntry = {
      id, ref, topic, key, sequence, value, lifetimeMs, publishedAtMs: this.clock.monotonicMs() - ageMs, bytes: encodedBytes(wire)
    }
    this.byRef.set(ref, entries.set(id, stored))
    return stored
  }

  /** Whether an entry has not expired or been replaced by a newer one. */
  isCurrent (entry: StoredEntry): boolean {
    return this.byRef.get(entry.ref)?.get(entry.id) === entry && this.isAlive(entry)
  }

  /** Encodes an entry for sending, with its current age. */
  toWire (entry: StoredEntry): WireEntry {
    return [entry.ref, GOSSIP_TOPICS.indexOf(entry.topic), entry.key, entry.sequence, Math.ceil(this.ageMs(entry)), entry.lifetimeMs, entry.value]
  }

  ageMs (entry: StoredEntry): number {
    return this.clock.monotonicMs() - entry.publishedAtMs
  }

  /** Unexpired entries of a topic. */
  ofTopic (topic: GossipTopic): readonly StoredEntry[] {
    const found: StoredEntry[] = []
    for (const entries of this.byRef.values()) for (const entry of entries.values()) if (entry.topic === topic && this.isAlive(entry)) found.push(entry)
    return found
  }

  /** Unexpired entries of an origin that anti-entropy repairs. */
  repairedEntriesOf (ref: number): readonly StoredEntry[] {
    return [...this.byRef.get(ref)?.values() ?? []].filter(entry => entry.lifetimeMs >= MIN_REPAIRED_LIFETIME_MS && this.isAlive(entry))
  }

  /** Hash per origin over its repaired entries, independent of their order. */
  hashes (): ReadonlyMap<number, number> {
    const sums = new Map<number, number>()
    for (const ref of this.byRef.keys()) {
      const repaired = this.repairedEntriesOf(ref)
      if (repaired.length === 0) continue
      sums.set(ref, repaired.reduce((sum, { id, sequence }) => (sum + murmurHash(`${id}/${sequence}`)) % HASH_MODULUS, 0))
    }
    return sums
  }

  /** Number of stored entries, including expired ones. */
  get size (): number {
    return [...this.byRef.values()].reduce((sum, entries) => sum + entries.size, 0)
  }

  /** Removes all entries of an origin. */
  forget (ref: number): void {
    this.byRef.delete(ref)
  }

  /** Removes entries whose sequence no longer needs to be kept. */
  sweep (): void {
    for (const entries of this.byRef.values()) {
      for (const [id, entry] of entries) if (this.ageMs(entry) > entry.lifetimeMs + SEQUENCE_RETENTION_MS) entries.delete(id)
    }
  }

  private isAlive (entry: StoredEntry): boolean {
    return this.ageMs(entry) < entry.lifetimeMs
  }
}
