import PQueue from 'p-queue'
import type { Clock, JsonValue, Random, TableRow, TableService, TableTransaction } from '@lovagehoist/common'
import { KEY_TABLE, parseKeyRow } from './keyRow.js'

/** A conditional write of one key's row. */
export interface KeyWrite {
  readonly key: string
  /** Version that the row must have; 0 for none. */
  readonly version: number
  /** Unique name, also in the value. */
  readonly writeId: string
  readonly value: JsonValue
}

/** How a write ended; `out` means that the table did not settle it. */
export type KeyWriteResult =
  | { readonly type: 'applied', readonly version: number }
  | { readonly type: 'conflict', readonly current: TableRow | undefined }
  | { readonly type: 'out', readonly mayApply: boolean }

/** What the writer needs. */
export interface KeyWriterOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  /** Live daemons, which share the table's writes. */
  readonly fleetSize: () => number
}

interface Pending {
  readonly write: KeyWrite
  readonly settle: (result: KeyWriteResult) => void
  readonly repeats: number
}

/** Transactions a second that all daemons together make for keys. */
const FLEET_WRITES_PER_SECOND = 200
const MS_PER_SECOND = 1_000
const MOST_WRITES_AT_ONCE = 100
const MOST_REPEATS = 3
const TRANSACTIONS_AT_ONCE = 2

/**
 * Writes rows of keys, many in one transaction, at a bounded rate.
 *
 * Rows are never deleted here: a row that came back at an old version would let a repeated write undo another daemon's claim.
 */
export class KeyWriter {
  private waiting: Pending[] = []
  private isTicking = false
  private nextAtMs = -Infinity
  private readonly queue = new PQueue({ concurrency: TRANSACTIONS_AT_ONCE })

  private constructor (private readonly options: KeyWriterOptions) {}

  /**
   * Creates an idle writer.
   *
   * @param options - Table, time and the number of daemons.
   * @returns The writer.
   */
  static create (options: KeyWriterOptions): KeyWriter {
    return new KeyWriter(options)
  }

  /**
   * Writes a row together with others that are due.
   *
   * @param write - The write.
   * @returns How it ended.
   */
  async write (write: KeyWrite): Promise<KeyWriteResult> {
    return await new Promise(resolve => { this.enqueue({ write, settle: resolve, repeats: 0 }) })
  }

  /** Writes that wait for a transaction. */
  get size (): number {
    return this.waiting.length
  }

  private enqueue (pending: Pending): void {
    this.waiting.push(pending)
    if (this.isTicking) return
    this.isTicking = true
    this.tick().catch(() => {})
  }

  private async tick (): Promise<void> {
    const { clock } = this.options
    while (this.waiting.length > 0) {
      await clock.sleepMs(Math.max(0, this.nextAtMs - clock.monotonicMs()))
      this.nextAtMs = clock.monotonicMs() + Math.max(1, this.options.fleetSize()) * MS_PER_SECOND / FLEET_WRITES_PER_SECOND
      const batch = this.takeBatch()
      this.queue.add(async () => { await this.transact(batch) }).catch(() => {})
    }
    this.isTicking = false
  }

  /** Takes the oldest writes; two of one key never go into the same transaction. */
  private takeBatch (): readonly Pending[] {
    const keys = new Set<string>()
    const batch: Pending[] = []
    const later: Pending[] = []
    for (const pending of this.waiting) {
      const { write, repeats } = pending
      const isAlone = repeats >= MOST_REPEATS
      const isFull = batch.length >= MOST_WRITES_AT_ONCE || (isAlone && batch.length > 0) || (batch[0]?.repeats ?? 0) >= MOST_REPEATS
      if (isFull || keys.has(write.key)) {
        later.push(pending)
        continue
      }
      keys.add(write.key)
      batch.push(pending)
    }
    this.waiting = later
    return batch
  }

  private async transact (batch: readonly Pending[]): Promise<void> {
    const result = await this.options.table.transact(transactionOf(this.options.random.id(), batch))
    if (result.isErr()) {
      if (result.error.kind === 'unknown') await Promise.all(batch.map(async pending => { await this.settleByReading(pending) }))
      else for (const { settle } of batch) settle({ type: 'out', mayApply: false })
      return
    }
    if (result.value.type === 'conflict') {
      this.settleConflict(batch, result.value.current)
      return
    }
    const versions = new Map(result.value.rows.map(row => [row.key, row.version]))
    for (const { write, settle } of batch) settle({ type: 'applied', version: versions.get(write.key) ?? 0 })
  }

  private settleConflict (batch: readonly Pending[], current: readonly TableRow[]): void {
    const rows = new Map(current.map(row => [row.key, row]))
    for (const pending of batch) {
      const row = rows.get(pending.write.key)
      const isOnlyOne = batch.length === 1
      if (row !== undefined && isOwn(pending.write, row)) pending.settle({ type: 'applied', version: row.version })
      else if (row !== undefined || isOnlyOne) pending.settle({ type: 'conflict', current: row })
      else this.enqueue({ ...pending, repeats: pending.repeats + 1 })
    }
  }

  /** Settles a lost answer: the row tells whether the write took effect; repeating it under the same condition is harmless. */
  private async settleByReading (pending: Pending): Promise<void> {
    const { write, settle, repeats } = pending
    const read = await this.options.table.get(KEY_TABLE, write.key, { isFresh: true })
    if (read.isErr()) {
      settle({ type: 'out', mayApply: true })
      return
    }
    const row = read.value
    if (row !== undefined && isOwn(write, row)) settle({ type: 'applied', version: row.version })
    else if ((row?.version ?? 0) !== write.version) settle({ type: 'conflict', current: row })
    else if (repeats < MOST_REPEATS) this.enqueue({ ...pending, repeats: repeats + 1 })
    else settle({ type: 'out', mayApply: true })
  }
}

const isOwn = (write: KeyWrite, row: TableRow): boolean => parseKeyRow(row.value)?.writeId === write.writeId

const transactionOf = (operationId: string, batch: readonly Pending[]): TableTransaction => ({
  operationId,
  conditions: batch.map(({ write: { key, version } }) => ({ table: KEY_TABLE, key, version })),
  writes: batch.map(({ write: { key, value } }) => ({ type: 'put', table: KEY_TABLE, key, value }))
})
