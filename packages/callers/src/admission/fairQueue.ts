import type { QueueAddOptions } from 'p-queue'

/** Options of a queued request. */
export interface FairOptions extends QueueAddOptions {
  readonly id?: string
  readonly accountId?: string
  /** Relative share of the account. */
  readonly weight?: number
}

type Run = () => Promise<unknown>

interface Entry {
  readonly id: string
  readonly run: Run
  readonly priority: number
  /** Virtual time at which the account's work up to this entry would be done. */
  readonly finishTag: number
}

const isBefore = (a: Pick<Entry, 'priority' | 'finishTag'>, b: Pick<Entry, 'priority' | 'finishTag'>): boolean =>
  a.priority === b.priority ? a.finishTag < b.finishTag : a.priority > b.priority

/** Queue for `p-queue`: by priority, and within a priority by weighted fair queueing over accounts. */
export class FairQueue {
  private entries: Entry[] = []
  private readonly finishTags = new Map<string, number>()
  private readonly virtualTimes = new Map<number, number>()

  get size (): number {
    return this.entries.length
  }

  /**
   * Adds a request behind all that are to run before it.
   *
   * @param run - Starts the request.
   * @param options - Its id, priority, account and the account's weight.
   */
  enqueue (run: Run, options: Partial<FairOptions> = {}): void {
    const { id = '', priority = 0, accountId = '' } = options
    const finishTag = this.nextTag(options)
    this.finishTags.set(`${priority}/${accountId}`, finishTag)
    this.entries.splice(this.positionOf({ priority, finishTag }), 0, { id, run, priority, finishTag })
  }

  /** Takes the request that is to run next. */
  dequeue (): Run | undefined {
    const first = this.entries.shift()
    if (first === undefined) return undefined
    this.virtualTimes.set(first.priority, first.finishTag)
    if (this.entries.length === 0) this.forget()
    return first.run
  }

  /**
   * Number of queued requests that would run before a new one.
   *
   * @param options - Priority and account of the new one.
   * @returns Requests ahead of it.
   */
  countAhead (options: Partial<FairOptions>): number {
    return this.positionOf({ priority: options.priority ?? 0, finishTag: this.nextTag(options) })
  }

  /** Id of the request that would run last. */
  lastId (): string | undefined {
    return this.entries.at(-1)?.id
  }

  /** Takes a request out. */
  remove (id: string): void {
    this.entries = this.entries.filter(entry => entry.id !== id)
    if (this.entries.length === 0) this.forget()
  }

  filter ({ priority }: Readonly<Partial<FairOptions>>): Run[] {
    return this.entries.filter(entry => entry.priority === priority).map(entry => entry.run)
  }

  setPriority (id: string, priority: number): void {
    const entry = this.entries.find(other => other.id === id)
    if (entry === undefined) return
    this.remove(id)
    this.enqueue(entry.run, { id, priority })
  }

  private nextTag ({ priority = 0, accountId = '', weight = 1 }: Partial<FairOptions>): number {
    const startTag = Math.max(this.virtualTimes.get(priority) ?? 0, this.finishTags.get(`${priority}/${accountId}`) ?? 0)
    return startTag + 1 / weight
  }

  private positionOf (wanted: Pick<Entry, 'priority' | 'finishTag'>): number {
    let [low, high] = [0, this.entries.length]
    while (low < high) {
      const middle = (low + high) >>> 1
      const entry = this.entries[middle]
      if (entry !== undefined && isBefore(wanted, entry)) high = middle
      else low = middle + 1
    }
    return low
  }

  private forget (): void {
    this.finishTags.clear()
    this.virtualTimes.clear()
  }
}
