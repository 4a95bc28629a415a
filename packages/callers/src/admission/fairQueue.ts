import type { QueueAddOptions } from 'p-queue'

/** Options of a queued request. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly id?: string
  readonly accountId?: string
  /** Weight of the account relative to others. */
  readonly weight?: number
}

type Run = () => Promise<unknown>

interface QueueEntry {
  readonly id: string
  readonly run: Run
  readonly priority: number
  /** Virtual time at which the account's work up to and including this entry would be finished. */
  readonly finishTag: number
}

const runsBefore = (a: Pick<QueueEntry, 'priority' | 'finishTag'>, b: Pick<QueueEntry, 'priority' | 'finishTag'>): boolean =>
  a.priority === b.priority ? a.finishTag < b.finishTag : a.priority > b.priority

/** Queue for `p-queue`: ordered by priority, and within a priority by weighted fair queueing over accounts. */
export class FairQueue {
  private entries: QueueEntry[] = []
  private readonly finishTags = new Map<string, number>()
  private readonly virtualTimes = new Map<number, number>()

  get size (): number {
    return this.entries.length
  }

  /**
   * Inserts a request at its position in the running order.
   *
   * @param run - Starts the request.
   * @param options - Its id, priority, account and the account's weight.
   */
  enqueue (run: Run, options: Partial<FairQueueOptions> = {}): void {
    const { id = '', priority = 0, accountId = '' } = options
    const finishTag = this.nextFinishTag(options)
    this.finishTags.set(`${priority}/${accountId}`, finishTag)
    this.entries.splice(this.insertionIndex({ priority, finishTag }), 0, { id, run, priority, finishTag })
  }

  /** Removes and returns the request that runs next. */
  dequeue (): Run | undefined {
    const first = this.entries.shift()
    if (first === undefined) return undefined
    this.virtualTimes.set(first.priority, first.finishTag)
    if (this.entries.length === 0) this.reset()
    return first.run
  }

  /**
   * Counts the queued requests that would run before a new one.
   *
   * @param options - Priority and account of the new one.
   * @returns Number of requests ahead of it.
   */
  countAhead (options: Partial<FairQueueOptions>): number {
    return this.insertionIndex({ priority: options.priority ?? 0, finishTag: this.nextFinishTag(options) })
  }

  /** Id of the last request in the running order; undefined when the queue is empty. */
  lastId (): string | undefined {
    return this.entries.at(-1)?.id
  }

  /** Removes a request. */
  remove (id: string): void {
    this.entries = this.entries.filter(entry => entry.id !== id)
    if (this.entries.length === 0) this.reset()
  }

  filter ({ priority }: Readonly<Partial<FairQueueOptions>>): Run[] {
    return this.entries.filter(entry => entry.priority === priority).map(entry => entry.run)
  }

  setPriority (id: string, priority: number): void {
    const entry = this.entries.find(other => other.id === id)
    if (entry === undefined) return
    this.remove(id)
    this.enqueue(entry.run, { id, priority })
  }

  private nextFinishTag ({ priority = 0, accountId = '', weight = 1 }: Partial<FairQueueOptions>): number {
    const startTag = Math.max(this.virtualTimes.get(priority) ?? 0, this.finishTags.get(`${priority}/${accountId}`) ?? 0)
    return startTag + 1 / weight
  }

  private insertionIndex (candidate: Pick<QueueEntry, 'priority' | 'finishTag'>): number {
    let [low, high] = [0, this.entries.length]
    while (low < high) {
      const middle = (low + high) >>> 1
      const entry = this.entries[middle]
      if (entry !== undefined && runsBefore(candidate, entry)) high = middle
      else low = middle + 1
    }
    return low
  }

  private reset (): void {
    this.finishTags.clear()
    this.virtualTimes.clear()
  }
}
