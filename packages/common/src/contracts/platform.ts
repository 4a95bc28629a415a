import type { Result } from 'neverthrow'
import type { JsonValue } from '../text/jsonValue.js'

/** A row of the table service; `version` increases by one with each write of the row. */
export interface TableRow {
  readonly table: string
  readonly key: string
  readonly version: number
  readonly value: JsonValue
}

/** Condition that a row has the given version; version 0 means that the row does not exist. */
export interface RowCondition {
  readonly table: string
  readonly key: string
  readonly version: number
}

/** A write of one row. */
export type RowWrite =
  | { readonly type: 'put', readonly table: string, readonly key: string, readonly value: JsonValue }
  | { readonly type: 'delete', readonly table: string, readonly key: string }

/** Writes that are applied atomically, or not at all when a condition fails. */
export interface TableTransaction {
  /** Unique id of this transaction; after a lost response, a read of the rows shows by this id whether it was applied. */
  readonly operationId: string
  readonly conditions: readonly RowCondition[]
  readonly writes: readonly RowWrite[]
}

/** Outcome of a transaction that received a response. */
export type TransactionOutcome =
  | { readonly type: 'applied', readonly rows: readonly TableRow[] }
  | { readonly type: 'conflict', readonly current: readonly TableRow[] }

/**
 * Kind of a failed call to the platform: `unavailable` means that nothing took effect, `unknown` that a write
 * may have taken effect, and `rejected` that the call itself is invalid.
 */
export type PlatformErrorKind = 'unavailable' | 'unknown' | 'rejected'

/** Error of a call to the platform. */
export interface PlatformError {
  readonly kind: PlatformErrorKind
  readonly message: string
}

/** Pending result of a call to the platform. */
export type PlatformResult<T> = Promise<Result<T, PlatformError>>

/** Options of a read. */
export interface ReadOptions {
  /** Reads the latest committed state instead of a possibly lagging replica; more expensive. */
  readonly isFresh?: boolean
}

/** The platform's transactional table service. */
export interface TableService {
  readonly get: (table: string, key: string, options?: ReadOptions) => PlatformResult<TableRow | undefined>
  readonly list: (table: string, keyPrefix: string, options?: ReadOptions) => PlatformResult<readonly TableRow[]>
  readonly transact: (transaction: TableTransaction) => PlatformResult<TransactionOutcome>
}

/** The platform's object store; the object stored under a key never changes. */
export interface ObjectStore {
  readonly put: (key: string, body: Uint8Array) => PlatformResult<void>
  readonly get: (key: string) => PlatformResult<Uint8Array | undefined>
}

/** Region and availability zone of an instance or target. */
export interface Locality {
  readonly region: string
  readonly availabilityZone: string
}

/** An entry of the platform's directory of live and leaving instances and targets; the directory lags behind reality. */
export interface DirectoryEntry extends Locality {
  readonly id: string
  readonly role: 'daemon' | 'target'
  /** Service of a target; empty for a daemon. */
  readonly service: string
  /** IP address. */
  readonly host: string
  /** Port for requests (target) or for peer calls (daemon). */
  readonly port: number
  readonly state: 'live' | 'leaving'
  /** Wall-clock start time, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number
  /** Requests that a target runs concurrently; 0 for a daemon. */
  readonly slots: number
}

/** The platform's directory of instances and targets, which lags behind reality. */
export interface InstanceDirectory {
  readonly list: () => PlatformResult<readonly DirectoryEntry[]>
}

/** The services of the platform. */
export interface Platform {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly directory: InstanceDirectory
}
