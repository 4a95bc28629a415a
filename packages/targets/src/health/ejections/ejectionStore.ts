import type { Clock, InstanceIdentity, Invariants, Random, RowCondition, TableRow, TableService } from '@lovagehoist/common'
import PQueue from 'p-queue'
import type { Capacity } from './capacity.js'
import { EJECTIONS_TABLE, EMPTY_ROW, ejectionRowSchema, toJson } from './ejectionRow.js'
import type { EjectionRow } from './ejectionRow.js'
import { OwnAllowance } from './ownAllowance.js'
import { RowCopies } from './rowCopies.js'
import type { RowCopy } from './rowCopies.js'
import { dropLapsed, reservedSlots } from './rowEdits.js'
import type { EditContext, RowEdit } from './rowEdits.js'

/** How an edit of a row ended: `outage` means that the table gave no answer that settles it. */
export type EditOutcome = 'applied' | 'refused' | 'outage'

/** What the store needs. */
export interface EjectionStoreOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  readonly invariants: Invariants
  readonly self: InstanceIdentity
  /** Capacity of a service as this daemon sees it now. */
  readonly capacity: (service: string) => Capacity
}

/** Tries of one edit when other daemons write the row at the same time. */
const MAX_TRIES = 4

interface Draft {
  readonly row: EjectionRow
  readonly version: number
  readonly operationId: string
}

/** Reads and writes the rows of ejections; holds copies and this process's allowances. */
export class EjectionStore {
  private readonly copies: RowCopies
  private readonly allowances = new Map<string, OwnAllowance>()
  private readonly queues = new Map<string, PQueue>()

  private constructor (private readonly options: EjectionStoreOptions) {
    this.copies = RowCopies.create(options.clock)
  }

  /**
   * Creates a store that knows no row.
   *
   * @param options - Table, time and capacity.
   * @returns The store.
   */
  static create (options: EjectionStoreOptions): EjectionStore {
    return new EjectionStore(options)
  }

  /** Latest known copy of a service's row. */
  copy (service: string): RowCopy {
    return this.copies.get(service)
  }

  /** Services whose row is known. */
  services (): readonly string[] {
    return this.copies.services()
  }

  /** Allowance of this process for a service. */
  allowance (service: string): OwnAllowance {
    const known = this.allowances.get(service)
    if (known !== undefined) return known
    const allowance = OwnAllowance.create(this.options.clock, this.options.self)
    this.allowances.set(service, allowance)
    return allowance
  }

  /** Services for which this process has held an allowance. */
  allowanceServices (): readonly string[] {
    return [...this.allowances.keys()]
  }

  /**
   * Reads the latest state of a service's row.
   *
   * @param service - Service.
   * @returns Whether the table answered.
   */
  async read (service: string): Promise<boolean> {
    const startedAtMs = this.options.clock.monotonicMs()
    const found = await this.options.table.get(EJECTIONS_TABLE, service, { isFresh: true })
    if (found.isErr()) return false
    return this.take(service, found.value, startedAtMs)
  }

  /** Reads the rows of all services. */
  async readAll (): Promise<void> {
    const startedAtMs = this.options.clock.monotonicMs()
    const found = await this.options.table.list(EJECTIONS_TABLE, '', { isFresh: true })
    if (found.isErr()) return
    for (const row of found.value) this.take(row.key, row, startedAtMs)
  }

  /**
   * Changes a service's row; edits of one service follow one another.
   *
   * @param service - Service.
   * @param edit - The change.
   * @returns Whether it was applied; `refused` when the edit has nothing to change or the floor forbids it.
   */
  async edit (service: string, edit: RowEdit): Promise<EditOutcome> {
    const queue = this.queues.get(service) ?? new PQueue({ concurrency: 1 })
    this.queues.set(service, queue)
    return await queue.add(async () => await this.editNow(service, edit))
  }

  private async editNow (service: string, edit: RowEdit): Promise<EditOutcome> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      if (!await this.read(service)) return 'outage'
      const draft = this.draft(service, edit)
      if (draft === undefined) return 'refused'
      const outcome = await this.write(service, draft)
      if (outcome !== 'conflict') return outcome
    }
    return 'outage'
  }

  private draft (service: string, edit: RowEdit): Draft | undefined {
    const { row, version } = this.copies.get(service)
    const operationId = this.options.random.id()
    const context = this.contextOf(service, version + 1, operationId)
    const cleaned = dropLapsed(row, context)
    const edited = edit(cleaned ?? row, context) ?? cleaned
    if (edited === undefined) return undefined
    const { capacity } = context
    const isNotWorse = reservedSlots(edited, capacity) <= Math.max(capacity.totalSlots - capacity.floorSlots, reservedSlots(row, capacity))
    this.options.invariants.check('floor', isNotWorse, { service })
    this.allowance(service).beginWrite(operationId, edited, version)
    return { row: edited, version, operationId }
  }

  private contextOf (service: string, fence: number, operationId: string): EditContext {
    const { clock, self, capacity } = this.options
    return {
      self,
      capacity: capacity(service),
      fence,
      operationId,
      wallMs: clock.wallMs(),
      isSeenFor: (key, durationMs) => this.copies.isSeenFor(service, key, durationMs),
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
      if (written.error.kind !== 'unknown') this.allowance(service).dropWrite(draft.operationId)
      return written.error.kind === 'unknown' ? await this.settle(service, draft) : 'outage'
    }
    if (written.value.type === 'conflict') {
      this.take(service, written.value.current[0], startedAtMs)
      return 'conflict'
    }
    this.options.invariants.check('lease-fence', written.value.rows[0]?.version === draft.version + 1, { service })
    this.take(service, written.value.rows[0], startedAtMs)
    return 'applied'
  }

  private async settle (service: string, draft: Draft): Promise<EditOutcome> {
    if (!await this.read(service)) return 'outage'
    const { row, version } = this.copies.get(service)
    return version > draft.version && JSON.stringify(row) === JSON.stringify(ejectionRowSchema.parse(draft.row)) ? 'applied' : 'outage'
  }

  private take (service: string, found: TableRow | undefined, startedAtMs: number): boolean {
    const parsed = ejectionRowSchema.safeParse(found === undefined ? EMPTY_ROW : found.value)
    if (!parsed.success) return false
    this.copies.take(service, parsed.data, found?.version ?? 0, startedAtMs)
    const latest = this.copies.get(service)
    this.allowance(service).take(latest.row, latest.version)
    return true
  }
}
