import type { NewsMessage, NewsRow, NewsSource, NewsTopic } from '../contracts/fleetNews.js'
import type { Clock } from '../time/clock.js'

/** Semantics of the records that daemons share. */
export interface SharedRecordsOptions<V> {
  readonly name: string
  readonly clock: Clock
  /** Number of records kept; the least important ones are dropped. */
  readonly maxRecords: number
  /**
   * Joins what is known with news; returns undefined when the news add nothing. The join must be idempotent, commutative and associative, so that knowing
   * less never overwrites knowing more.
   */
  readonly merge: (known: V | undefined, news: V) => V | undefined
  /** Orders records by importance; the higher, the longer a record is kept. */
  readonly importanceOf: (value: V) => number
  /** Whether a change to this value is sent at once. */
  readonly isUrgent: (value: V) => boolean
  readonly isExpired: (value: V, nowMs: number) => boolean
  /** Encodes a value; times become ages, since daemons have clocks of their own. */
  readonly encode: (value: V, nowMs: number) => ReadonlyArray<string | number>
  /** Decodes a value; undefined if the fields are malformed. */
  readonly decode: (fields: ReadonlyArray<string | number>, nowMs: number) => V | undefined
}

type Origin = NewsSource | 'own'

interface SharedRecord<V> {
  readonly value: V
  /** Where the newest change came from. */
  readonly origin: Origin
  readonly changedAtMs: number
}

/** Origins of the changes that a message carries; a full message carries all records. */
const CARRIED_ORIGINS: Readonly<Record<NewsMessage, ReadonlySet<Origin>>> = {
  report: new Set<Origin>(['own']),
  zone: new Set<Origin>(['own', 'zone']),
  view: new Set<Origin>(['own', 'zone', 'fleet'])
}
/** Each message covers a little more time than has passed since the previous one, in case a datagram was lost. */
const OVERLAP_MS = 300

/** Records that all daemons share and only add to; each daemon can tell a restarted one everything that it lost. */
export class SharedRecords<V> implements NewsTopic {
  readonly name: string
  private readonly records = new Map<string, SharedRecord<V>>()
  private readonly collectedAtMs: Record<NewsMessage, number> = { report: -Infinity, zone: -Infinity, view: -Infinity }
  private changes = 0
  private notifyAdded: (key: string) => void = () => {}
  private notify: (isUrgent: boolean) => void = () => {}

  private constructor (private readonly options: SharedRecordsOptions<V>) {
    this.name = options.name
  }

  /**
   * Creates an empty set of records.
   *
   * @param options - Semantics of the records.
   * @returns The records.
   */
  static create <V>(options: SharedRecordsOptions<V>): SharedRecords<V> {
    return new SharedRecords(options)
  }

  /** Number of records, expired ones included until the next message. */
  get size (): number {
    return this.records.size
  }

  /** Number of changes so far, for callers that derive something from the records. */
  get revision (): number {
    return this.changes
  }

  readonly onChange = (listener: (isUrgent: boolean) => void): void => { this.notify = listener }

  /** Sets the listener for records that this daemon did not know. */
  onAdded (listener: (key: string) => void): void {
    this.notifyAdded = listener
  }

  /** Returns the value of a record that has not expired. */
  get (key: string): V | undefined {
    const value = this.records.get(key)?.value
    return value === undefined || this.options.isExpired(value, this.options.clock.monotonicMs()) ? undefined : value
  }

  /** Returns all records that have not expired. */
  all (): ReadonlyArray<readonly [key: string, value: V]> {
    this.dropExpired()
    return [...this.records].map(([key, { value }]) => [key, value] as const)
  }

  /** Adds what this daemon has learned itself. */
  record (key: string, news: V): void {
    const value = this.merge(key, news, 'own')
    if (value !== undefined) this.notify(this.options.isUrgent(value))
  }

  /** Drops a record that can't matter any more. */
  forget (key: string): void {
    this.records.delete(key)
  }

  readonly collect = (message: NewsMessage, isFull: boolean): readonly NewsRow[] => {
    const nowMs = this.options.clock.monotonicMs()
    const sinceMs = this.collectedAtMs[message] - OVERLAP_MS
    this.collectedAtMs[message] = nowMs
    this.dropExpired()
    return [...this.records]
      .filter(([, { origin, changedAtMs }]) => isFull || (changedAtMs >= sinceMs && CARRIED_ORIGINS[message].has(origin)))
      .map(([key, { value }]) => [key, ...this.options.encode(value, nowMs)] as const)
  }

  readonly apply = (rows: readonly NewsRow[], source: NewsSource): boolean => {
    const nowMs = this.options.clock.monotonicMs()
    let hasUrgent = false
    for (const [key, ...fields] of rows) {
      const news = this.options.decode(fields, nowMs)
      if (news === undefined || this.options.isExpired(news, nowMs)) continue
      const value = this.merge(key, news, source)
      if (value !== undefined && this.options.isUrgent(value)) hasUrgent = true
    }
    return hasUrgent
  }

  private merge (key: string, news: V, origin: Origin): V | undefined {
    const known = this.get(key)
    const value = this.options.merge(known, news)
    if (value === undefined) return undefined
    this.changes++
    this.records.set(key, { value, origin, changedAtMs: this.options.clock.monotonicMs() })
    if (known === undefined) this.notifyAdded(key)
    this.dropLeastImportant()
    return value
  }

  private dropExpired (): void {
    const nowMs = this.options.clock.monotonicMs()
    for (const [key, { value }] of this.records) if (this.options.isExpired(value, nowMs)) this.records.delete(key)
  }

  private dropLeastImportant (): void {
    if (this.records.size <= this.options.maxRecords) return
    this.dropExpired()
    const byImportance = [...this.records].sort(([, a], [, b]) => this.options.importanceOf(a.value) - this.options.importanceOf(b.value))
    for (const [key] of byImportance.slice(0, Math.max(0, this.records.size - this.options.maxRecords))) this.records.delete(key)
  }
}
