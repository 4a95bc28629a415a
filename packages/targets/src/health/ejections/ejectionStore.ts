import type { Clock, InstanceIdentity, Invariants, Random, RowCondition, TableRow, TableService } from '@lovagehoist/common'
import PQueue from 'p-queue'
import type { Capacity } from './capacity.js'
import { EJECTIONS_TABLE, EMPTY_ROW, ejectionRowSchema, toJson } from './ejectionRow.js'
import type { EjectionRow } from './ejectionRow.js'
import { OwnAllowance } from './ownAllowance.js'
import { RowCache } from './rowCache.js'
import type { CachedRow } from './rowCache.js'
import { dropExpired, reservedSlots } from './rowEdits.js'
import type { EditContext, RowEdit } from './rowEdits.js'

/** Result of an edit of a row; `outage` means that the table gave no conclusive answer, so that the edit may or may not have been applied. */
export type EditOutcome = 'applied' | 'refused' | 'outage'

/** Dependencies of the store. */
export interface EjectionStoreOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  readonly invariants: Invariants
  readonly self: InstanceIdentity
  /** Current capacity of a service as this daemon sees it. */
  readonly capacity: (service: string) => Capacity
}

/** Attempts at one edit when other daemons write the row concurrently. */
const MAX_ATTEMPTS = 4

/** A row to be written if the table still has the version that it is based on. */
interface Draft {
  readonly row: EjectionRow
  readonly version: number
  readonly operationId: string
}

/** Reads and writes the rows of the ejections table, by optimistic concurrency; keeps a cache of them and this process's allowances. */
export class EjectionStore {
  private readonly cache: RowCache
  private readonly allowances = new Map<string, OwnAllowance>()
  private readonly queues = new Map<string, PQueue>()

  private constructor (private readonly options: EjectionStoreOptions) {
    this.cache = RowCache.create(options.clock)
  }

  /**
   * Creates a store with an empty cache.
   *
   * @param options - Dependencies of the store.
   * @returns The store.
   */
  static create (options: EjectionStoreOptions): EjectionStore {
    return new EjectionStore(options)
  }

  /** Cached row of a service. */
  cachedRow (service: string): CachedRow {
    return this.cache.get(service)
  }

  /** Services whose row is cached. */
  services (): readonly string[] {
    return this.cache.services()
  }

  /** Allowance of this process for a service; of zero slots until one is granted. */
  allowance (service: string): OwnAllowance {
    const existing = this.allowances.get(service)
    if (existing !== undefined) return existing
    const allowance = OwnAllowance.create(this.options.clock, this.options.self)
    this.allowances.set(service, allowance)
    return allowance
  }

  /** Services for which this process has held an allowance. */
  allowanceServices (): readonly string[] {
    return [...this.allowances.keys()]
  }

  /**
   * Reads a service's row from the table into the cache.
   *
   * @param service - Service that the row belongs to.
   * @returns Whether the table returned a valid row or none.
   */
  async read (service: string): Promise<boolean> {
    const startedAtMs = this.options.clock.monotonicMs()
    const found = await this.options.table.get(EJECTIONS_TABLE, service, { isFresh: true })
    if (found.isErr()) return false
    return this.applyRow(service, found.value, startedAtMs)
  }

  /** Reads the rows of all services into the cache. */
  async readAll (): Promise<void> {
    const startedAtMs = this.options.clock.monotonicMs()
    const found = await this.options.table.list(EJECTIONS_TABLE, '', { isFresh: true })
    if (found.isErr()) return
    for (const row of found.value) this.applyRow(row.key, row, startedAtMs)
  }

  /**
   * Edits a service's row; edits of one service run one after another.
   *
   * @param service - Service that the row belongs to.
   * @param edit - Computes the changed row.
   * @returns The result; `refused` when there is nothing to change or the floor forbids the change.
   */
  async edit (service: string, edit: RowEdit): Promise<EditOutcome> {
    const queue = this.queues.get(service) ?? new PQueue({ concurrency: 1 })
    this.queues.set(service, queue)
    return await queue.add(async () => await this.editWithRetries(service, edit))
  }

  private async editWithRetries (service: string, edit: RowEdit): Promise<EditOutcome> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (!await this.read(service)) return 'outage'
      const draft = this.prepare(service, edit)
      if (draft === undefined) return 'refused'
      const outcome = await this.write(service, draft)
      if (outcome !== 'conflict') return outcome
    }
    return 'outage'
  }

  private prepare (service: string, edit: RowEdit): Draft | undefined {
    const { row, version } = this.cache.get(service)
    const operationId = this.options.random.id()
    const context = this.createContext(service, version + 1, operationId)
    const cleaned = dropExpired(row, context)
    const edited = edit(cleaned ?? row, context) ?? cleaned
    if (edited === undefined) return undefined
    const { capacity } = context
    const keepsFloor = reservedSlots(edited, capacity) <= Math.max(capacity.totalSlots - capacity.floorSlots, reservedSlots(row, capacity))
    this.options.invariants.check('floor', keepsFloor, { service })
    this.allowance(service).trackWrite(operationId, edited, version)
    return { row: edited, version, operationId }
  }

  private createContext (service: string, fence: number, operationId: string): EditContext {
    const { clock, self, capacity } = this.options
    return {
      self,
      capacity: capacity(service),
      fence,
      operationId,
      wallMs: clock.wallMs(),
      isKnownForAtLeast: (key, durationMs) => this.cache.isKnownForAtLeast(service, key, durationMs),
      ownUnusedSlots: this.allowance(service).unusedSlots
    }
  }

  private async write (service: string, draft: Draft): Promise<EditOutcome | 'conflict'> {
    const startedAtMs = this.options.clock.monotonicMs()
    const condition: RowCondition = { table: EJECTIONS_TABLE, key: service, version: draft.version }
    const written = await this.options.table.transact({
      operationId: draft.operationId,
      conditions: [condition],
      writes: [{ type: 'put', table: EJECTIONS_TABLE, key: service, value: toJson(draft.row) }]
    })
    if (written.isErr()) {
      if (written.error.kind !== 'unknown') this.allowance(service).cancelWrite(draft.operationId)
      return written.error.kind === 'unknown' ? await this.resolveUnknownWrite(service, draft) : 'outage'
    }
    if (written.value.type === 'conflict') {
      this.applyRow(service, written.value.current[0], startedAtMs)
      return 'conflict'
    }
    this.options.invariants.check('lease-fence', written.value.rows[0]?.version === draft.version + 1, { service })
    this.applyRow(service, written.value.rows[0], startedAtMs)
    return 'applied'
  }

  /** Reads the row to find out whether a write with unknown result took effect. */
  private async resolveUnknownWrite (service: string, draft: Draft): Promise<EditOutcome> {
    if (!await this.read(service)) return 'outage'
    const { row, version } = this.cache.get(service)
    return version > draft.version && JSON.stringify(row) === JSON.stringify(ejectionRowSchema.parse(draft.row)) ? 'applied' : 'outage'
  }

  private applyRow (service: string, stored: TableRow | undefined, startedAtMs: number): boolean {
    const parsed = ejectionRowSchema.safeParse(stored === undefined ? EMPTY_ROW : stored.value)
    if (!parsed.success) return false
    this.cache.update(service, parsed.data, stored?.version ?? 0, startedAtMs)
    const latest = this.cache.get(service)
    this.allowance(service).applyRow(latest.row, latest.version)
    return true
  }
}
