import type { GossipEntry, GossipTopic } from '../contracts/peers.js'
import type { Clock } from '../time/clock.js'

interface StoredEntry {
  readonly entry: GossipEntry
  readonly publishedAtMs: number
  readonly lifetimeMs: number
}

/** Unexpired gossip entries, with the listeners of their topics. */
export class LiveEntries {
  private readonly stored = new Map<string, StoredEntry>()
  private readonly listeners = new Map<GossipTopic, Set<(entry: GossipEntry) => void>>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an empty set.
   *
   * @param clock - Source of time.
   * @returns The set.
   */
  static create (clock: Clock): LiveEntries {
    return new LiveEntries(clock)
  }

  /**
   * Stores an entry, replacing an earlier one of the same origin, topic and key, and notifies the listeners.
   *
   * @param entry - The entry.
   * @param lifetimeMs - Time after which the entry expires.
   */
  put (entry: GossipEntry, lifetimeMs: number): void {
    const key = `${entry.topic}/${entry.origin.instanceId}/${entry.key}`
    this.stored.set(key, { entry, publishedAtMs: this.clock.monotonicMs(), lifetimeMs })
    for (const listener of this.listeners.get(entry.topic) ?? []) listener(entry)
  }

  /** Unexpired entries of a topic. */
  entries (topic: GossipTopic): readonly GossipEntry[] {
    const nowMs = this.clock.monotonicMs()
    return [...this.stored.values()]
      .filter(stored => stored.entry.topic === topic && nowMs - stored.publishedAtMs < stored.lifetimeMs)
      .map(stored => ({ ...stored.entry, ageMs: nowMs - stored.publishedAtMs }))
  }

  /**
   * Subscribes to a topic.
   *
   * @returns A function that unsubscribes.
   */
  onEntry (topic: GossipTopic, listener: (entry: GossipEntry) => void): () => void {
    const listeners = this.listeners.get(topic) ?? new Set()
    this.listeners.set(topic, listeners.add(listener))
    return () => { listeners.delete(listener) }
  }
}
