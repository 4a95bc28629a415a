import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../time/clock.js'
import type {
  DirectoryEntry, InstanceDirectory, ObjectStore, Platform, PlatformError, PlatformResult, TableService, TableTransaction, TransactionOutcome
} from '../contracts/platform.js'
import { TableState } from './tableState.js'

/** Faults injected into one client of the fake platform; initially none. */
export interface FakePlatformFaults {
  /** Calls to the table service and the object store fail without effect. */
  isDown: boolean
  /** The directory cannot be read. */
  isDirectoryDown: boolean
  /** Writes take effect, but their responses are lost. */
  losesAnswers: boolean
  /** Reads that do not require the latest state read the replica, which `syncReplica` brings up to date. */
  isReplicaStale: boolean
  /** Duration of each call. */
  delayMs: number
}

/** In-memory platform shared by the clients of a test. */
export class FakePlatform {
  readonly table = TableState.create()
  readonly objects = new Map<string, Uint8Array>()
  /** Entries of the directory; tests replace them. */
  listed: readonly DirectoryEntry[] = []

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an empty platform.
   *
   * @param clock - Source of time.
   * @returns The platform.
   */
  static create (clock: Clock): FakePlatform {
    return new FakePlatform(clock)
  }

  /**
   * Creates a client with its own injected faults.
   *
   * @returns The client and its faults, which the test may change at any time.
   */
  connect (): { readonly platform: Platform, readonly faults: FakePlatformFaults } {
    const faults: FakePlatformFaults = { isDown: false, isDirectoryDown: false, losesAnswers: false, isReplicaStale: false, delayMs: 0 }
    return { platform: { table: this.tableOf(faults), objects: this.objectsOf(faults), directory: this.directoryOf(faults) }, faults }
  }

  private tableOf (faults: FakePlatformFaults): TableService {
    const readsLatest = (requested: boolean | undefined): boolean => requested === true || !faults.isReplicaStale
    return {
      get: async (table, key, options) => await this.call(faults, () => this.table.get(table, key, readsLatest(options?.isFresh))),
      list: async (table, keyPrefix, options) => await this.call(faults, () => this.table.list(table, keyPrefix, readsLatest(options?.isFresh))),
      transact: async transaction => await this.transact(faults, transaction)
    }
  }

  private async transact (faults: FakePlatformFaults, transaction: TableTransaction): PlatformResult<TransactionOutcome> {
    const outcome = await this.call(faults, () => this.table.transact(transaction))
    if (outcome.isOk() && faults.losesAnswers) return err({ kind: 'unknown', message: 'the response was lost' })
    return outcome
  }

  private objectsOf (faults: FakePlatformFaults): ObjectStore {
    return {
      put: async (key, body) => await this.call(faults, () => { this.objects.set(key, body) }),
      get: async key => await this.call(faults, () => this.objects.get(key))
    }
  }

  private directoryOf (faults: FakePlatformFaults): InstanceDirectory {
    return {
      list: async () => {
        if (faults.isDirectoryDown) return err({ kind: 'unavailable', message: 'the directory is down' })
        return ok(this.listed)
      }
    }
  }

  private async call<T> (faults: FakePlatformFaults, run: () => T): Promise<Result<T, PlatformError>> {
    if (faults.delayMs > 0) await this.clock.sleepMs(faults.delayMs)
    if (faults.isDown) return err({ kind: 'unavailable', message: 'the platform is down' })
    return ok(run())
  }
}
