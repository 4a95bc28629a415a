import type { GossipEntry, GossipTopic } from '../contracts/peers.js'
import type { Clock } from '../time/clock.js'

interface Held {
  readonly entry: GossipEntry
  readonly publishedAtMs: number
  readonly lifetimeMs: number
}

/** Published values that are alive, with the listeners of their topics. */
export class LiveEntries {
  private readonly held = new Map<string, Held>()
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
   * Takes a value in place of an earlier one of the same origin, topic and key, and tells the listeners.
   *
   * @param entry - The value.
   * @param lifetimeMs - Time after which it is forgotten.
   */
  put (entry: GossipEntry, lifetimeMs: number): void {
    const key = `${entry.topic}/${entry.origin.instanceId}/${entry.key}`
    this.held.set(key, { entry, publishedAtMs: this.clock.monotonicMs(), lifetimeMs })
    for (const listener of this.listeners.get(entry.topic) ?? []) listener(entry)
  }

  /** Values of a topic that are alive. */
  entries (topic: GossipTopic): readonly GossipEntry[] {
    const nowMs = this.clock.monotonicMs()
    return [...this.held.values()]
      .filter(held => held.entry.topic === topic && nowMs - held.publishedAtMs < held.lifetimeMs)
      .map(held => ({ ...held.entry, ageMs: nowMs - held.publishedAtMs }))
  }

  /**
   * Watches a topic.
   *
   * @returns Ends the watch.
   */
  onEntry (topic: GossipTopic, listener: (entry: GossipEntry) => void): () => void {
    const listeners = this.listeners.get(topic) ?? new Set()
    this.listeners.set(topic, listeners.add(listener))
    return () => { listeners.delete(listener) }
  }
}
