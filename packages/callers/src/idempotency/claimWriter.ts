import PQueue from 'p-queue'
import type { Clock, JsonValue, Random, TableRow, TableService, TableTransaction } from '@lovagehoist/common'
import { CLAIM_TABLE, parseClaimRow } from './claimRow.js'

/** A conditional write of one claim's row. */
export interface ClaimWrite {
  readonly key: string
  /** Version that the row must have; 0 when it must not exist. */
  readonly version: number
  /** Unique id of the write, also contained in the value. */
  readonly writeId: string
  readonly value: JsonValue
}

/** Outcome of a write; `out` means that the table did not confirm it, and `mayApply` whether it may have taken effect or still do so. */
export type ClaimWriteResult =
  | { readonly type: 'applied', readonly version: number }
  | { readonly type: 'conflict', readonly current: TableRow | undefined }
  | { readonly type: 'out', readonly mayApply: boolean }

/** Dependencies of a claim writer. */
export interface ClaimWriterOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  /** Number of live daemons, which share the limit of transactions. */
  readonly fleetSize: () => number
}

interface PendingWrite {
  readonly write: ClaimWrite
  readonly settle: (result: ClaimWriteResult) => void
  readonly retries: number
}

/** Limit of claim transactions per second for the whole fleet. */
const FLEET_TRANSACTIONS_PER_SECOND = 200
const MS_PER_SECOND = 1_000
const MAX_BATCH_SIZE = 100
const MAX_RETRIES = 3
const MAX_CONCURRENT_TRANSACTIONS = 2

/**
 * Writes claims in batched transactions at a limited rate.
 *
 * Never deletes rows: a row recreated at an old version would let a retried write overwrite another daemon's claim.
 */
export class ClaimWriter {
  private pendingWrites: PendingWrite[] = []
  private isFlushing = false
  private nextFlushAtMs = -Infinity
  private readonly queue = new PQueue({ concurrency: MAX_CONCURRENT_TRANSACTIONS })

  private constructor (private readonly options: ClaimWriterOptions) {}

  /**
   * Creates an idle writer.
   *
   * @param options - Table, clock and fleet size.
   * @returns The writer.
   */
  static create (options: ClaimWriterOptions): ClaimWriter {
    return new ClaimWriter(options)
  }

  /**
   * Writes a row, batched with other pending writes.
   *
   * @param write - The write.
   * @returns Outcome of the write.
   */
  async write (write: ClaimWrite): Promise<ClaimWriteResult> {
    return await new Promise(resolve => { this.enqueue({ write, settle: resolve, retries: 0 }) })
  }

  /** Number of writes that wait for a transaction. */
  get size (): number {
    return this.pendingWrites.length
  }

  private enqueue (pending: PendingWrite): void {
    this.pendingWrites.push(pending)
    if (this.isFlushing) return
    this.isFlushing = true
    this.flush().catch(() => {})
  }

  private async flush (): Promise<void> {
    const { clock } = this.options
    while (this.pendingWrites.length > 0) {
      await clock.sleepMs(Math.max(0, this.nextFlushAtMs - clock.monotonicMs()))
      this.nextFlushAtMs = clock.monotonicMs() + Math.max(1, this.options.fleetSize()) * MS_PER_SECOND / FLEET_TRANSACTIONS_PER_SECOND
      const batch = this.nextBatch()
      this.queue.add(async () => { await this.transact(batch) }).catch(() => {})
    }
    this.isFlushing = false
  }

  /** Removes the oldest writes from the queue as a batch, which contains at most one write of each key. A write that was retried too often gets a batch of its own. */
  private nextBatch (): readonly PendingWrite[] {
    const keys = new Set<string>()
    const batch: PendingWrite[] = []
    const remaining: PendingWrite[] = []
    for (const pending of this.pendingWrites) {
      const { write, retries } = pending
      const needsOwnBatch = retries >= MAX_RETRIES
      const isFull = batch.length >= MAX_BATCH_SIZE || (needsOwnBatch && batch.length > 0) || (batch[0]?.retries ?? 0) >= MAX_RETRIES
      if (isFull || keys.has(write.key)) {
        remaining.push(pending)
        continue
      }
      keys.add(write.key)
      batch.push(pending)
    }
    this.pendingWrites = remaining
    return batch
  }

  private async transact (batch: readonly PendingWrite[]): Promise<void> {
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

  private settleConflict (batch: readonly PendingWrite[], current: readonly TableRow[]): void {
    const rows = new Map(current.map(row => [row.key, row]))
    for (const pending of batch) {
      const row = rows.get(pending.write.key)
      const isSingle = batch.length === 1
      if (row !== undefined && isOwnWrite(pending.write, row)) pending.settle({ type: 'applied', version: row.version })
      else if (row !== undefined || isSingle) pending.settle({ type: 'conflict', current: row })
      else this.enqueue({ ...pending, retries: pending.retries + 1 })
    }
  }

  /** Resolves an unknown outcome by reading the row: its write id shows whether the write took effect. Otherwise retries the write, which its version condition makes idempotent. */
  private async settleByReading (pending: PendingWrite): Promise<void> {
    const { write, settle, retries } = pending
    const read = await this.options.table.get(CLAIM_TABLE, write.key, { isFresh: true })
    if (read.isErr()) {
      settle({ type: 'out', mayApply: true })
      return
    }
    const row = read.value
    if (row !== undefined && isOwnWrite(write, row)) settle({ type: 'applied', version: row.version })
    else if ((row?.version ?? 0) !== write.version) settle({ type: 'conflict', current: row })
    else if (retries < MAX_RETRIES) this.enqueue({ ...pending, retries: retries + 1 })
    else settle({ type: 'out', mayApply: true })
  }
}

const isOwnWrite = (write: ClaimWrite, row: TableRow): boolean => parseClaimRow(row.value)?.writeId === write.writeId

const transactionOf = (operationId: string, batch: readonly PendingWrite[]): TableTransaction => ({
  operationId,
  conditions: batch.map(({ write: { key, version } }) => ({ table: CLAIM_TABLE, key, version })),
  writes: batch.map(({ write: { key, value } }) => ({ type: 'put', table: CLAIM_TABLE, key, value }))
})
