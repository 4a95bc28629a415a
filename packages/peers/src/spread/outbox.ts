import type { GossipTopic } from '@lovagehoist/common'
import { SPREAD_CLASSES } from '../wire/messages.js'
import type { HeldEntry } from './entryStore.js'

/** Entries that wait for one partner, bounded; the last class is dropped first. */
export class Outbox {
  private readonly waiting = new Map<string, HeldEntry>()
  private wake: () => void = () => {}

  private constructor (private readonly maxEntries: number, private readonly onDropped: (topic: GossipTopic) => void) {}

  /**
   * Creates an empty outbox.
   *
   * @param maxEntries - Most entries that wait.
   * @param onDropped - Counts a drop.
   * @returns The outbox.
   */
  static create (maxEntries: number, onDropped: (topic: GossipTopic) => void): Outbox {
    return new Outbox(maxEntries, onDropped)
  }

  /** Adds an entry in place of an older one of the same kind. */
  add (entry: HeldEntry): void {
    this.waiting.delete(entry.id)
    this.waiting.set(entry.id, entry)
    if (this.waiting.size > this.maxEntries) this.dropLast()
    this.wake()
  }

  /** Entries that wait, most important class first and oldest first within a class. */
  ordered (): readonly HeldEntry[] {
    return [...this.waiting.values()].sort((a, b) => SPREAD_CLASSES.indexOf(a.topic) - SPREAD_CLASSES.indexOf(b.topic))
  }

  /** Classes of the entries that wait. */
  topics (): ReadonlySet<GossipTopic> {
    return new Set([...this.waiting.values()].map(entry => entry.topic))
  }

  /** Removes entries unless newer ones took their places. */
  remove (entries: readonly HeldEntry[]): void {
    for (const entry of entries) if (this.waiting.get(entry.id) === entry) this.waiting.delete(entry.id)
  }

  /** Resolves at the next added entry. */
  async added (signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>(resolve => {
      this.wake = resolve
      signal.addEventListener('abort', () => { resolve() }, { once: true })
    })
  }

  private dropLast (): void {
    const last = this.ordered().at(-1)
    if (last === undefined) return
    this.waiting.delete(last.id)
    this.onDropped(last.topic)
  }
}
