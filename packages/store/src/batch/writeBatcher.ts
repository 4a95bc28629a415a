import type { Clock, PlatformError, Random, RowCondition, TableRow, TableService, TableTransaction, TransactionOutcome } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** Options of a write batcher. */
export interface WriteBatcherOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  /** Time for which transactions are collected before a batch is written, in milliseconds. */
  readonly maxDelayMs: number
  /** Maximum number of transactions in one batch. */
  readonly maxTransactions: number
}

type Outcome = Result<TransactionOutcome, PlatformError>

interface QueuedTransaction {
  readonly transaction: TableTransaction
  readonly resolve: (outcome: Outcome) => void
}

const rowKeyOf = ({ table, key }: { readonly table: string, readonly key: string }): string => `${table}\u0000${key}`

const touchedRowKeys = ({ conditions, writes }: TableTransaction): readonly string[] => [...conditions, ...writes].map(rowKeyOf)

/** Whether the current rows show that a condition failed; the absence of a row proves nothing. */
const isViolated = (condition: RowCondition, current: readonly TableRow[]): boolean =>
  current.some(row => rowKeyOf(row) === rowKeyOf(condition) && row.version !== condition.version)

/**
 * Batches small independent transactions into one write. Each must include its operation id in a row that it writes:
 * when the response to the batch is lost, reading that row shows whether the transaction was applied.
 */
export class WriteBatcher {
  private queue: readonly QueuedTransaction[] = []
  private isFlushScheduled = false

  private constructor (private readonly options: WriteBatcherOptions) {}

  /**
   * Creates an empty batcher.
   *
   * @param options - Table service, clock, randomness and limits.
   * @returns The batcher.
   */
  static create (options: WriteBatcherOptions): WriteBatcher {
    return new WriteBatcher(options)
  }

  /**
   * Writes a transaction, possibly in a batch with others.
   *
   * @param transaction - Transaction.
   * @returns The outcome of this transaction alone.
   */
  async transact (transaction: TableTransaction): Promise<Outcome> {
    return await new Promise(resolve => {
      this.queue = [...this.queue, { transaction, resolve }]
      if (this.isFlushScheduled) return
      this.isFlushScheduled = true
      this.options.clock.after(this.options.maxDelayMs, () => { this.flush().catch(() => {}) })
    })
  }

  private async flush (): Promise<void> {
    const batch = this.takeDisjointBatch()
    this.isFlushScheduled = this.queue.length > 0
    if (this.isFlushScheduled) this.options.clock.after(this.options.maxDelayMs, () => { this.flush().catch(() => {}) })
    await this.write(batch)
  }

  /** Removes from the queue a batch of transactions that touch disjoint rows; the others stay for the next batch. */
  private takeDisjointBatch (): readonly QueuedTransaction[] {
    const touched = new Set<string>()
    const batch: QueuedTransaction[] = []
    const remaining: QueuedTransaction[] = []
    for (const entry of this.queue) {
      const rows = touchedRowKeys(entry.transaction)
      const isIncluded = batch.length < this.options.maxTransactions && !rows.some(row => touched.has(row))
      if (isIncluded) for (const row of rows) touched.add(row)
      if (isIncluded) batch.push(entry)
      else remaining.push(entry)
    }
    this.queue = remaining
    return batch
  }

  private async write (batch: readonly QueuedTransaction[]): Promise<void> {
    if (batch.length === 0) return
    const [first] = batch
    const operationId = batch.length === 1 && first !== undefined ? first.transaction.operationId : this.options.random.id()
    const conditions = batch.flatMap(({ transaction }) => transaction.conditions)
    const writes = batch.flatMap(({ transaction }) => transaction.writes)
    const outcome = await this.transactWithoutThrowing({ operationId, conditions, writes })
    if (outcome.isErr()) {
      for (const { resolve } of batch) resolve(err(outcome.error))
      return
    }
    if (outcome.value.type === 'applied') this.resolveApplied(batch, outcome.value.rows)
    else await this.resolveConflict(batch, outcome.value.current)
  }

  /** Turns an exception of the client into `unknown`, as the write may have taken effect. */
  private async transactWithoutThrowing (transaction: TableTransaction): Promise<Outcome> {
    try {
      return await this.options.table.transact(transaction)
    } catch (error) {
      return err({ kind: 'unknown', message: String(error) })
    }
  }

  private resolveApplied (batch: readonly QueuedTransaction[], rows: readonly TableRow[]): void {
    for (const { transaction, resolve } of batch) {
      const ownKeys = new Set(transaction.writes.map(rowKeyOf))
      resolve(ok({ type: 'applied', rows: rows.filter(row => ownKeys.has(rowKeyOf(row))) }))
    }
  }

  /** Resolves the transactions whose conditions failed and writes the others again without them; if none is known to have failed, writes each alone. */
  private async resolveConflict (batch: readonly QueuedTransaction[], current: readonly TableRow[]): Promise<void> {
    const isFailed = ({ transaction }: QueuedTransaction): boolean => batch.length === 1 || transaction.conditions.some(condition => isViolated(condition, current))
    const failed = batch.filter(isFailed)
    for (const { transaction, resolve } of failed) {
      const ownKeys = new Set(transaction.conditions.map(rowKeyOf))
      resolve(ok({ type: 'conflict', current: current.filter(row => ownKeys.has(rowKeyOf(row))) }))
    }
    const others = batch.filter(entry => !isFailed(entry))
    if (failed.length > 0) await this.write(others)
    else await Promise.all(others.map(async entry => { await this.write([entry]) }))
  }
}
