import type { Result } from 'neverthrow'
import type { JsonValue } from '../text/jsonValue.js'

/** One row of the table service; `version` grows by one with each write of the row. */
export interface TableRow {
  readonly table: string
  readonly key: string
  readonly version: number
  readonly value: JsonValue
}

/** Requires a row to have a version; 0 requires that the row does not exist. */
export interface RowCondition {
  readonly table: string
  readonly key: string
  readonly version: number
}

/** A write of one row. */
export type RowWrite =
  | { readonly type: 'put', readonly table: string, readonly key: string, readonly value: JsonValue }
  | { readonly type: 'delete', readonly table: string, readonly key: string }

/** Writes that take effect together, or not at all when a condition fails. */
export interface TableTransaction {
  /** Unique name of this transaction; used to settle a lost answer by reading. */
  readonly operationId: string
  readonly conditions: readonly RowCondition[]
  readonly writes: readonly RowWrite[]
}

/** How a transaction that was answered ended. */
export type TransactionOutcome =
  | { readonly type: 'applied', readonly rows: readonly TableRow[] }
  | { readonly type: 'conflict', readonly current: readonly TableRow[] }

/**
 * Why the platform gave no answer: `unavailable` means nothing took effect; `unknown` means that a write
 * may have taken effect; `rejected` means that the call itself is wrong.
 */
export type PlatformErrorKind = 'unavailable' | 'unknown' | 'rejected'

/** Failure of a call to the platform. */
export interface PlatformError {
  readonly kind: PlatformErrorKind
  readonly message: string
}

/** A call to the platform. */
export type PlatformResult<T> = Promise<Result<T, PlatformError>>

/** Options of a read. */
export interface ReadOptions {
  /** Reads the latest committed state instead of a replica that may lag; costs more. */
  readonly isFresh?: boolean
}

/** The platform's transactional table. */
export interface TableService {
  readonly get: (table: string, key: string, options?: ReadOptions) => PlatformResult<TableRow | undefined>
  readonly list: (table: string, keyPrefix: string, options?: ReadOptions) => PlatformResult<readonly TableRow[]>
  readonly transact: (transaction: TableTransaction) => PlatformResult<TransactionOutcome>
}

/** The platform's object store; objects never change under a key. */
export interface ObjectStore {
  readonly put: (key: string, body: Uint8Array) => PlatformResult<void>
  readonly get: (key: string) => PlatformResult<Uint8Array | undefined>
}

/** Place of an instance or target. */
export interface Locality {
  readonly region: string
  readonly availabilityZone: string
}

/** One entry of the platform's list of live and leaving instances, which lags. */
export interface DirectoryEntry extends Locality {
  readonly id: string
  readonly role: 'daemon' | 'target'
  /** Service of a target; empty for a daemon. */
  readonly service: string
  /** IP address. */
  readonly host: string
  /** Port for requests (target) or for peers (daemon). */
  readonly port: number
  readonly state: 'live' | 'leaving'
  /** Wall-clock start, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number
  /** Requests that a target runs at once; 0 for a daemon. */
  readonly slots: number
}

/** The platform's lagging list of instances. */
export interface InstanceDirectory {
  readonly list: () => PlatformResult<readonly DirectoryEntry[]>
}

/** Everything that the platform offers. */
export interface Platform {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly directory: InstanceDirectory
}
