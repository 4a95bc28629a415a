import type { GossipTopic } from '@lovagehoist/common'
import { SPREAD_CLASSES } from '../wire/messages.js'
import type { HeldEntry } from './entryStore.js'

/** Entries that wait for one partner, bounded; the last class is dropped first. */
export class Outbox {
  private readonly queued = new Map<string, HeldEntry>()
  private wakeWaiter: () => void = () => {}

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
    this.queued.delete(entry.id)
    this.queued.set(entry.id, entry)
    if (this.queued.size > this.maxEntries) this.dropLeastImportant()
    this.wakeWaiter()
  }

  /** Entries that wait, most important class first and oldest first within a class. */
  ordered (): readonly HeldEntry[] {
    return [...this.queued.values()].sort((a, b) => SPREAD_CLASSES.indexOf(a.topic) - SPREAD_CLASSES.indexOf(b.topic))
  }

  /** Classes of the entries that wait. */
  topics (): ReadonlySet<GossipTopic> {
    return new Set([...this.queued.values()].map(entry => entry.topic))
  }

  /** Removes entries unless newer ones took their places. */
  remove (entries: readonly HeldEntry[]): void {
    for (const entry of entries) if (this.queued.get(entry.id) === entry) this.queued.delete(entry.id)
  }

  /** Resolves at the next added entry. */
  async waitForEntry (signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>(resolve => {
      this.wakeWaiter = resolve
      signal.addEventListener('abort', () => { resolve() }, { once: true })
    })
  }

  private dropLeastImportant (): void {
    const last = this.ordered().at(-1)
    if (last === undefined) return
    this.queued.delete(last.id)
    this.onDropped(last.topic)
  }
}
