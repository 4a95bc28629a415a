import { murmurHash } from '@lovagehoist/common'
import type { Clock, JsonValue, GossipTopic } from '@lovagehoist/common'
import { encodedBytes } from '../wire/codec.js'
import { SPREAD_CLASSES } from '../wire/messages.js'
import type { WireEntry } from '../wire/messages.js'

/** An entry as it is held. */
export interface HeldEntry {
  /** Names origin, class and key. */
  readonly id: string
  readonly ref: number
  readonly topic: GossipTopic
  readonly key: string
  readonly sequence: number
  readonly value: JsonValue
  readonly lifetimeMs: number
  /** Publication on this daemon's monotonic clock, at the earliest. */
  readonly bornAtMs: number
  /** Length in a message. */
  readonly bytes: number
}

/** Entries that live at least this long are repaired by anti-entropy; shorter ones are published again by their origin. */
export const REPAIRED_LIFETIME_MS = 20_000

/** Time for which the sequence of an expired entry is remembered, so that a delayed older one is recognised. */
const REMEMBERED_MS = 120_000
const HASH_LIMIT = 0x100000000

const idOf = (ref: number, topic: GossipTopic, key: string): string => `${ref}/${topic}/${key}`

/** Newest entry of each origin, class and key. */
export class EntryStore {
  private readonly byRef = new Map<number, Map<string, HeldEntry>>()

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
   * Takes an entry from a message.
   *
   * @param wire - The entry.
   * @returns It as held; undefined when it has expired or is no newer than one held before.
   */
  accept (wire: WireEntry): HeldEntry | undefined {
    const [ref, classNumber, key, sequence, ageMs, lifetimeMs, value] = wire
    const topic = SPREAD_CLASSES[classNumber]
    if (topic === undefined || ageMs >= lifetimeMs) return undefined
    const id = idOf(ref, topic, key)
    const entries = this.byRef.get(ref) ?? new Map<string, HeldEntry>()
    if (sequence <= (entries.get(id)?.sequence ?? 0)) return undefined
    const held: HeldEntry = {
      id, ref, topic, key, sequence, value, lifetimeMs, bornAtMs: this.clock.monotonicMs() - ageMs, bytes: encodedBytes(wire)
    }
    this.byRef.set(ref, entries.set(id, held))
    return held
  }

  /** Whether an entry is the newest of its kind and has not expired. */
  isCurrent (entry: HeldEntry): boolean {
    return this.byRef.get(entry.ref)?.get(entry.id) === entry && this.isAlive(entry)
  }

  /** Makes the form in which an entry is sent now. */
  toWire (entry: HeldEntry): WireEntry {
    return [entry.ref, SPREAD_CLASSES.indexOf(entry.topic), entry.key, entry.sequence, Math.ceil(this.ageMs(entry)), entry.lifetimeMs, entry.value]
  }

  ageMs (entry: HeldEntry): number {
    return this.clock.monotonicMs() - entry.bornAtMs
  }

  /** Entries of a class that have not expired. */
  ofTopic (topic: GossipTopic): readonly HeldEntry[] {
    const found: HeldEntry[] = []
    for (const entries of this.byRef.values()) for (const entry of entries.values()) if (entry.topic === topic && this.isAlive(entry)) found.push(entry)
    return found
  }

  /** Entries of an origin that anti-entropy repairs. */
  repairedOf (ref: number): readonly HeldEntry[] {
    return [...this.byRef.get(ref)?.values() ?? []].filter(entry => entry.lifetimeMs >= REPAIRED_LIFETIME_MS && this.isAlive(entry))
  }

  /** One number for each origin that changes with any of its repaired entries. */
  hashes (): ReadonlyMap<number, number> {
    const sums = new Map<number, number>()
    for (const ref of this.byRef.keys()) {
      const repaired = this.repairedOf(ref)
      if (repaired.length === 0) continue
      sums.set(ref, repaired.reduce((sum, { id, sequence }) => (sum + murmurHash(`${id}/${sequence}`)) % HASH_LIMIT, 0))
    }
    return sums
  }

  /** Number of entries held, expired ones included. */
  get size (): number {
    return [...this.byRef.values()].reduce((sum, entries) => sum + entries.size, 0)
  }

  /** Forgets an origin. */
  forget (ref: number): void {
    this.byRef.delete(ref)
  }

  /** Forgets entries that expired long ago. */
  sweep (): void {
    for (const entries of this.byRef.values()) {
      for (const [id, entry] of entries) if (this.ageMs(entry) > entry.lifetimeMs + REMEMBERED_MS) entries.delete(id)
    }
  }

  private isAlive (entry: HeldEntry): boolean {
    return this.ageMs(entry) < entry.lifetimeMs
  }
}
