import type { TableRow, TableTransaction, TransactionOutcome } from '../contracts/platform.js'
import type { JsonValue } from '../text/jsonValue.js'

/** In-memory rows of the table service, with a replica that may be stale. */
export class TableState {
  private readonly rows = new Map<string, TableRow>()
  private replica: ReadonlyMap<string, TableRow> = new Map()
  private readonly applied = new Map<string, TransactionOutcome>()

  private constructor () {}

  /**
   * Creates an empty table service.
   *
   * @returns The state.
   */
  static create (): TableState {
    return new TableState()
  }

  /** Brings the replica up to date. */
  syncReplica (): void {
    this.replica = new Map(this.rows)
  }

  get (table: string, key: string, isFresh: boolean): TableRow | undefined {
    return this.rowsFor(isFresh).get(`${table}\u0000${key}`)
  }

  list (table: string, keyPrefix: string, isFresh: boolean): readonly TableRow[] {
    return [...this.rowsFor(isFresh).values()]
      .filter(row => row.table === table && row.key.startsWith(keyPrefix))
      .sort((a, b) => a.key < b.key ? -1 : 1)
  }

  /** Applies a transaction atomically, and at most once for each operation id. */
  transact (transaction: TableTransaction): TransactionOutcome {
    const earlier = this.applied.get(transaction.operationId)
    if (earlier !== undefined) return earlier
    const failed = transaction.conditions.filter(({ table, key, version }) => (this.get(table, key, true)?.version ?? 0) !== version)
    if (failed.length > 0) {
      return { type: 'conflict', current: failed.flatMap(({ table, key }) => this.get(table, key, true) ?? []) }
    }
    const outcome: TransactionOutcome = {
      type: 'applied',
      rows: transaction.writes.flatMap(write => {
        if (write.type === 'put') return [this.put(write.table, write.key, write.value)]
        this.rows.delete(`${write.table}\u0000${write.key}`)
        return []
      })
    }
    this.applied.set(transaction.operationId, outcome)
    return outcome
  }

  private put (table: string, key: string, value: JsonValue): TableRow {
    const row: TableRow = { table, key, version: (this.get(table, key, true)?.version ?? 0) + 1, value }
    this.rows.set(`${table}\u0000${key}`, row)
    return row
  }

  private rowsFor (isFresh: boolean): ReadonlyMap<string, TableRow> {
    return isFresh ? this.rows : this.replica
  }
}
