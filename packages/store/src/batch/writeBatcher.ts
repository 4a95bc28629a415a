import type { Clock, PlatformError, Random, RowCondition, TableRow, TableService, TableTransaction, TransactionOutcome } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** What a batcher needs. */
export interface WriteBatcherOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  /** Longest wait of a transaction for others, in milliseconds. */
  readonly gatherMs: number
  /** Most transactions in one write. */
  readonly maxTransactions: number
}

type Outcome = Result<TransactionOutcome, PlatformError>

interface Waiting {
  readonly transaction: TableTransaction
  readonly resolve: (outcome: Outcome) => void
}

const nameOf = ({ table, key }: { readonly table: string, readonly key: string }): string => `${table}\u0000${key}`

const rowsOf = ({ conditions, writes }: TableTransaction): readonly string[] => [...conditions, ...writes].map(nameOf)

/** Whether a row shows that a condition failed; a row that is absent now shows nothing. */
const hasFailed = (condition: RowCondition, current: readonly TableRow[]): boolean =>
  current.some(row => nameOf(row) === nameOf(condition) && row.version !== condition.version)

/**
 * Writes small independent transactions together. Each must carry its operation id in a row that it writes, since a lost
 * answer of the joint write is settled by reading that row.
 */
export class WriteBatcher {
  private waiting: readonly Waiting[] = []
  private isGathering = false

  private constructor (private readonly options: WriteBatcherOptions) {}

  /**
   * Creates an empty batcher.
   *
   * @param options - Table, time, randomness and limits.
   * @returns The batcher.
   */
  static create (options: WriteBatcherOptions): WriteBatcher {
    return new WriteBatcher(options)
  }

  /**
   * Writes a transaction, perhaps together with others.
   *
   * @param transaction - Transaction.
   * @returns Its own outcome.
   */
  async transact (transaction: TableTransaction): Promise<Outcome> {
    return await new Promise(resolve => {
      this.waiting = [...this.waiting, { transaction, resolve }]
      if (this.isGathering) return
      this.isGathering = true
      this.options.clock.after(this.options.gatherMs, () => { this.flush().catch(() => {}) })
    })
  }

  private async flush (): Promise<void> {
    const batch = this.takeDisjoint()
    this.isGathering = this.waiting.length > 0
    if (this.isGathering) this.options.clock.after(this.options.gatherMs, () => { this.flush().catch(() => {}) })
    await this.write(batch)
  }

  /** Takes transactions that touch different rows; the others wait for the next write. */
  private takeDisjoint (): readonly Waiting[] {
    const touched = new Set<string>()
    const batch: Waiting[] = []
    const left: Waiting[] = []
    for (const entry of this.waiting) {
      const rows = rowsOf(entry.transaction)
      const isFree = batch.length < this.options.maxTransactions && !rows.some(row => touched.has(row))
      if (isFree) for (const row of rows) touched.add(row)
      if (isFree) batch.push(entry)
      else left.push(entry)
    }
    this.waiting = left
    return batch
  }

  private async write (batch: readonly Waiting[]): Promise<void> {
    if (batch.length === 0) return
    const [first] = batch
    const operationId = batch.length === 1 && first !== undefined ? first.transaction.operationId : this.options.random.id()
    const conditions = batch.flatMap(({ transaction }) => transaction.conditions)
    const writes = batch.flatMap(({ transaction }) => transaction.writes)
    const outcome = await this.transactSafely({ operationId, conditions, writes })
    if (outcome.isErr()) {
      for (const { resolve } of batch) resolve(err(outcome.error))
      return
    }
    if (outcome.value.type === 'applied') this.settleApplied(batch, outcome.value.rows)
    else await this.settleConflict(batch, outcome.value.current)
  }

  /** A client that throws leaves it open whether the write took effect. */
  private async transactSafely (transaction: TableTransaction): Promise<Outcome> {
    try {
      return await this.options.table.transact(transaction)
    } catch (error) {
      return err({ kind: 'unknown', message: String(error) })
    }
  }

  private settleApplied (batch: readonly Waiting[], rows: readonly TableRow[]): void {
    for (const { transaction, resolve } of batch) {
      const own = new Set(transaction.writes.map(nameOf))
      resolve(ok({ type: 'applied', rows: rows.filter(row => own.has(nameOf(row))) }))
    }
  }

  /** Tells the transactions whose conditions failed, and writes the others again without them. */
  private async settleConflict (batch: readonly Waiting[], current: readonly TableRow[]): Promise<void> {
    const isFailed = ({ transaction }: Waiting): boolean => batch.length === 1 || transaction.conditions.some(condition => hasFailed(condition, current))
    const failed = batch.filter(isFailed)
    for (const { transaction, resolve } of failed) {
      const own = new Set(transaction.conditions.map(nameOf))
      resolve(ok({ type: 'conflict', current: current.filter(row => own.has(nameOf(row))) }))
    }
    const others = batch.filter(entry => !isFailed(entry))
    if (failed.length > 0) await this.write(others)
    else await Promise.all(others.map(async entry => { await this.write([entry]) }))
  }
}
