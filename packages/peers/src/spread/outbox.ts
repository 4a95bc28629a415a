import type { GossipTopic } from '@lovagehoist/common'
import { GOSSIP_TOPICS } from '../wire/messages.js'
import type { StoredEntry } from './entryStore.js'

/** Bounded queue of entries for one partner; when it is full, the least important topic is dropped first. */
export class Outbox {
  private readonly queued = new Map<string, StoredEntry>()
  private wakeWaiter: () => void = () => {}

  private constructor (private readonly maxEntries: number, private readonly onDropped: (topic: GossipTopic) => void) {}

  /**
   * Creates an empty outbox.
   *
   * @param maxEntries - Maximum number of queued entries.
   * @param onDropped - Called with the topic of each dropped entry.
   * @returns The outbox.
   */
  static create (maxEntries: number, onDropped: (topic: GossipTopic) => void): Outbox {
    return new Outbox(maxEntries, onDropped)
  }

  /** Queues an entry; it replaces a queued one of the same origin, topic and key. */
  add (entry: StoredEntry): void {
    this.queued.delete(entry.id)
    this.queued.set(entry.id, entry)
    if (this.queued.size > this.maxEntries) this.dropLeastImportant()
    this.wakeWaiter()
  }

  /** Queued entries, most important topic first and oldest first within a topic. */
  ordered (): readonly StoredEntry[] {
    return [...this.queued.values()].sort((a, b) => GOSSIP_TOPICS.indexOf(a.topic) - GOSSIP_TOPICS.indexOf(b.topic))
  }

  /** Topics of the queued entries. */
  topics (): ReadonlySet<GossipTopic> {
    return new Set([...this.queued.values()].map(entry => entry.topic))
  }

  /** Removes entries unless newer ones have replaced them. */
  remove (entries: readonly StoredEntry[]): void {
    for (const entry of entries) if (this.queued.get(entry.id) === entry) this.queued.delete(entry.id)
  }

  /** Resolves when the next entry is added or the signal aborts. */
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
