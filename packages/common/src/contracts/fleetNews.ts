/** A row of news as messages carry it: the key of a record, then its fields. */
export type NewsRow = readonly [key: string, ...fields: ReadonlyArray<string | number>]

/** Message that carries news: a daemon's report to its relays, a zone's totals to other zones, or a relay's view to the daemons of its zone. */
export type NewsMessage = 'report' | 'zone' | 'view'

/** Where news come from: a daemon of the own zone, or a relay that speaks for others. */
export type NewsSource = 'zone' | 'fleet'

/** One kind of knowledge that daemons share. Applying rows is idempotent, and neither their order nor their route matters. */
export interface NewsTopic {
  readonly name: string
  /** Whether reports repeat all rows for at least half a second, so that the standby relay of a large zone need not get each report; false by default. */
  readonly isRepeated?: boolean
  /** Sets the listener for changes made by this daemon. */
  readonly onChange: (listener: (isUrgent: boolean) => void) => void
  /** Returns the rows that changed since the last message of this kind, or all of them. */
  readonly collect: (message: NewsMessage, isFull: boolean) => readonly NewsRow[]
  /** Applies rows of another daemon and skips malformed ones; returns whether any of them are urgent news. */
  readonly apply: (rows: readonly NewsRow[], source: NewsSource) => boolean
}
