import type { Clock, Invariants, PlatformError, Random, RowCondition, TableRow, TableService } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LEASES_TABLE, parseLease } from './leaseRow.js'
import type { LeaseRow } from './leaseRow.js'

/** Options of a lease. */
export interface LeaseOptions {
  /** Name of the lease, which is the key of its row. */
  readonly name: string
  /** Unique id of the process that acquires the lease. */
  readonly holder: string
  readonly ttlMs: number
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  readonly invariants: Invariants
}

/** Why a lease was not acquired, or why the result of work under it was discarded. */
export type LeaseError = PlatformError | { readonly kind: 'held' | 'lapsed', readonly message: string }

/** Additional time, as a share of the time to live, that other processes wait before they take over a lease. */
const TAKEOVER_MARGIN_SHARE = 0.25

interface HeldLease {
  readonly fence: number
  /** Version of the lease's row as this process wrote it. */
  readonly version: number
  readonly validUntilMs: number
}

interface ObservedRow {
  readonly version: number
  /** Monotonic time at which this version was first seen. */
  readonly atMs: number
}

/**
 * A lease with a fencing token, stored as a row of the table service. Each process measures time only on its own
 * monotonic clock: the holder counts the time to live from before its write, the others from when they first saw the write.
 */
export class Lease {
  private held: HeldLease | undefined
  private observed: ObservedRow | undefined

  private constructor (private readonly options: LeaseOptions) {}

  /**
   * Creates a lease that is not held.
   *
   * @param options - Name, holder, time to live, table, clock, randomness and invariants.
   * @returns The lease.
   */
  static create (options: LeaseOptions): Lease {
    return new Lease(options)
  }

  /** Fencing token of the held lease; undefined when the lease is not held or has expired. Do not cache it. */
  fence (): number | undefined {
    const { held } = this
    return held !== undefined && this.options.clock.monotonicMs() < held.validUntilMs ? held.fence : undefined
  }

  /** Condition that makes a transaction fail once the lease's row is no longer as this process wrote it. */
  condition (): RowCondition | undefined {
    return this.fence() === undefined || this.held === undefined ? undefined : { table: LEASES_TABLE, key: this.options.name, version: this.held.version }
  }

  /**
   * Acquires the lease when it is free or has expired, or renews it when this process holds it.
   *
   * @returns The fencing token, or why the lease was not acquired.
   */
  async acquire (): Promise<Result<number, LeaseError>> {
    const { table, name, holder, clock } = this.options
    const startedAtMs = clock.monotonicMs()
    const found = await table.get(LEASES_TABLE, name, { isFresh: true })
    if (found.isErr()) return err(found.error)
    const row = parseLease(found.value)
    const isOwn = row !== undefined && row.holder === holder && row.fence === this.held?.fence
    if (!isOwn && !this.isFree(found.value, row)) return err({ kind: 'held', message: `${name} is held by ${row?.holder ?? 'nobody'}` })
    const fence = isOwn ? row.fence : (row?.fence ?? 0) + 1
    return await this.write(found.value, { holder, fence, ttlMs: this.options.ttlMs }, startedAtMs)
  }

  /** Releases the lease, so that others need not wait until it expires. */
  async release (): Promise<void> {
    const condition = this.condition()
    const fence = this.fence()
    this.held = undefined
    if (condition === undefined || fence === undefined) return
    await this.options.table.transact({
      operationId: this.options.random.id(),
      conditions: [condition],
      writes: [{ type: 'put', table: LEASES_TABLE, key: this.options.name, value: { holder: '', fence, ttlMs: 0 } }]
    })
  }

  /**
   * Runs work under the lease; the result is discarded unless the lease is still held with the same fencing token afterwards.
   *
   * @param work - Work; receives the fencing token.
   * @returns The result, or the error `lapsed`.
   */
  async run<T> (work: (fence: number) => Promise<T>): Promise<Result<T, LeaseError>> {
    const fence = this.fence()
    if (fence === undefined) return err({ kind: 'lapsed', message: `${this.options.name} is not held` })
    const result = await work(fence)
    return this.fence() === fence ? ok(result) : err({ kind: 'lapsed', message: `${this.options.name} expired during the work` })
  }

  /** Whether the lease may be acquired: it has no holder, or its row has not changed for the time to live plus the margin. */
  private isFree (found: TableRow | undefined, row: LeaseRow | undefined): boolean {
    if (found === undefined || row === undefined || row.holder === '') return true
    const nowMs = this.options.clock.monotonicMs()
    if (this.observed?.version !== found.version) this.observed = { version: found.version, atMs: nowMs }
    return nowMs - this.observed.atMs >= row.ttlMs * (1 + TAKEOVER_MARGIN_SHARE)
  }

  private async write (found: TableRow | undefined, row: LeaseRow, startedAtMs: number): Promise<Result<number, LeaseError>> {
    const { table, name, random, ttlMs } = this.options
    const outcome = await table.transact({
      operationId: random.id(),
      conditions: [{ table: LEASES_TABLE, key: name, version: found?.version ?? 0 }],
      writes: [{ type: 'put', table: LEASES_TABLE, key: name, value: { ...row } }]
    })
    if (outcome.isErr()) return outcome.error.kind === 'unknown' ? await this.resolveUnknownOutcome(row, startedAtMs) : err(outcome.error)
    if (outcome.value.type === 'conflict') return err({ kind: 'held', message: `${name} was acquired by another process` })
    return this.markHeld(row.fence, (found?.version ?? 0) + 1, startedAtMs + ttlMs)
  }

  /** Determines by reading the row whether a write whose response was lost took effect. */
  private async resolveUnknownOutcome (row: LeaseRow, startedAtMs: number): Promise<Result<number, LeaseError>> {
    const { table, name, ttlMs } = this.options
    const found = await table.get(LEASES_TABLE, name, { isFresh: true })
    if (found.isErr()) return err(found.error)
    const written = parseLease(found.value)
    if (found.value === undefined || written?.holder !== row.holder || written.fence !== row.fence) return err({ kind: 'held', message: `${name} was not acquired` })
    return this.markHeld(row.fence, found.value.version, startedAtMs + ttlMs)
  }

  private markHeld (fence: number, version: number, validUntilMs: number): Result<number, LeaseError> {
    this.options.invariants.check('lease-fence', fence >= (this.held?.fence ?? 0), { name: this.options.name, fence, earlier: this.held?.fence })
    this.held = { fence, version, validUntilMs }
    return ok(fence)
  }
}
