import type { SharedEntry, SpreadClass } from '../contracts/peers.js'
import type { Clock } from '../time/clock.js'

interface Held {
  readonly entry: SharedEntry
  readonly publishedAtMs: number
  readonly lifetimeMs: number
}

/** Published values that are alive, with the listeners of their topics. */
export class HeldEntries {
  private readonly held = new Map<string, Held>()
  private readonly listeners = new Map<SpreadClass, Set<(entry: SharedEntry) => void>>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an empty set.
   *
   * @param clock - Source of time.
   * @returns The set.
   */
  static create (clock: Clock): HeldEntries {
    return new HeldEntries(clock)
  }

  /**
   * Takes a value in place of an earlier one of the same origin, topic and key, and tells the listeners.
   *
   * @param entry - The value.
   * @param lifetimeMs - Time after which it is forgotten.
   */
  put (entry: SharedEntry, lifetimeMs: number): void {
    const key = `${entry.topic}/${entry.origin.instanceId}/${entry.key}`
    this.held.set(key, { entry, publishedAtMs: this.clock.monotonicMs(), lifetimeMs })
    for (const listener of this.listeners.get(entry.topic) ?? []) listener(entry)
  }

  /** Values of a topic that are alive. */
  entries (topic: SpreadClass): readonly SharedEntry[] {
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
  onEntry (topic: SpreadClass, listener: (entry: SharedEntry) => void): () => void {
    const listeners = this.listeners.get(topic) ?? new Set()
    this.listeners.set(topic, listeners.add(listener))
    return () => { listeners.delete(listener) }
  }
}
