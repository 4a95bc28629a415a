import type { Clock, Invariants, PeerBus, Random, GossipEntry, TableService } from '@lovagehoist/common'
import { ejectableSlots, countedSlots } from './capacity.js'
import type { Capacity } from './capacity.js'
import { ROW_REFRESH_INTERVAL_MS, PEER_EJECTION_LIFETIME_MS } from './durations.js'
import { EjectionStore } from './ejectionStore.js'
import type { EditOutcome } from './ejectionStore.js'
import { allowanceEjections, computeView } from './ejectionView.js'
import type { EjectionInputs, EjectionView } from './ejectionView.js'
import { ServiceRanks } from './serviceRanks.js'
import { PeerEjections } from './peerEjections.js'
import { ejectTarget, restoreFloor, grantAllowance, moveToStage } from './rowEdits.js'
import type { EjectionRequest, RowEdit } from './rowEdits.js'

export { computeCapacity } from './capacity.js'
export type { EjectionRequest } from './rowEdits.js'

/** Dependencies of the ejections. */
export interface EjectionsOptions {
  readonly table: TableService
  readonly bus: PeerBus
  readonly clock: Clock
  readonly random: Random
  readonly invariants: Invariants
  /** Names of the services in the current configuration. */
  readonly services: () => readonly string[]
  /** Current capacity of a service as this daemon sees it. */
  readonly capacity: (service: string) => Capacity
}

/** Number of daemons that run the outlier detection of one service. */
export const DETECTORS_PER_SERVICE = 3
/** Number of daemons that hold an allowance for one service. */
const ALLOWANCE_HOLDERS_PER_SERVICE = 2
const HINT_LIFETIME_MS = 600_000
const READ_ALL_INTERVAL_MS = 60_000
/** Key prefix of the gossip entry that announces a new version of a service's row. */
const ROW_HINT_PREFIX = 'row/'
/** Key prefix of the gossip entry that announces a change of a daemon's ejections under its allowances. */
const ALLOWANCE_HINT_PREFIX = 'use/'

/** Result of a request to eject; `allowance` means that the target is ejected under this process's allowance because the table is unreachable. */
export type EjectOutcome = EditOutcome | 'allowance'

/** Ejections as this daemon applies them: agreed in the table, or made under allowances that were reserved there in advance. */
export class Ejections {
  private readonly store: EjectionStore
  private readonly peerEjections: PeerEjections
  private readonly ranks: ServiceRanks
  private readonly readAtMs = new Map<string, number>()
  private readonly staleServices = new Set<string>()
  private allReadAtMs = -Infinity

  private constructor (private readonly options: EjectionsOptions) {
    this.ranks = ServiceRanks.create(options.bus)
    this.store = EjectionStore.create({ ...options, self: options.bus.self })
    this.peerEjections = PeerEjections.create(options.clock, options.bus, () => options.services().flatMap(service => allowanceEjections(service, this.viewInputs(service))))
    options.bus.onEntry('ejection', entry => { this.handleHint(entry) })
  }

  /**
   * Creates the ejections; no target is ejected until a row has been read.
   *
   * @param options - Dependencies.
   * @returns The ejections.
   */
  static create (options: EjectionsOptions): Ejections {
    return new Ejections(options)
  }

  /** Ejections that apply to a service now; leases are checked at each call. */
  view (service: string): EjectionView {
    const inputs = this.viewInputs(service)
    const view = computeView(service, inputs)
    this.options.invariants.check('lease-fence', view.validUntilMs > inputs.nowMs, { service })
    this.options.invariants.check('floor', view.statuses.size === 0 || this.isWithinFloor(view, inputs.capacity), { service })
    return view
  }

  /** Cached row of a service, whether its lease has ended or not. */
  row (service: string): ReturnType<EjectionStore['cachedRow']> {
    return this.store.cachedRow(service)
  }

  /** Slots that this process may eject by itself while the table is unreachable. */
  allowanceSlots (service: string): number {
    return this.store.allowance(service).slots
  }

  /** Whether this daemon is one of the few that run the outlier detection of a service. */
  isDetector (service: string): boolean {
    return this.ownRank(service) < DETECTORS_PER_SERVICE
  }

  /** Instance ids of the daemons that run the outlier detection of a service, by this daemon's member list, highest rank first. */
  detectors (service: string): readonly string[] {
    return this.ranks.rankedInstances(service).slice(0, DETECTORS_PER_SERVICE)
  }

  /**
   * Ejects a target in the table or, during an outage of the table, under this process's allowance.
   *
   * @param service - Service of the target.
   * @param request - The target, the reason and the hold time.
   * @returns The result; `refused` when the floor forbids the ejection or the target is ejected already.
   */
  async eject (service: string, request: EjectionRequest): Promise<EjectOutcome> {
    const outcome = await this.editRow(service, ejectTarget(request))
    if (outcome === 'outage') return this.ejectUnderAllowance(service, request.targetId) ? 'allowance' : 'outage'
    this.stopAllowanceEjection(service, request.targetId)
    return outcome
  }

  /** Starts the trial of an ejected target, or releases it. */
  async moveToStage (service: string, targetId: string, stage: 'trial' | 'released'): Promise<EditOutcome> {
    this.stopAllowanceEjection(service, targetId)
    return await this.editRow(service, moveToStage(targetId, stage))
  }

  /** Runs one round of maintenance: reads rows that are due, renews allowances, and releases targets when the floor requires it. */
  async maintain (): Promise<void> {
    await Promise.all([
      this.readAllIfDue(),
      this.peerEjections.refresh(),
      ...this.options.services().map(async service => { await this.refreshService(service) })
    ])
  }

  private async refreshService (service: string): Promise<void> {
    const rank = this.ownRank(service)
    const { row } = this.store.cachedRow(service)
    const nowMs = this.options.clock.monotonicMs()
    const needsPolling = row.entries.length > 0 || rank < DETECTORS_PER_SERVICE
    const isDue = this.staleServices.has(service) || (needsPolling && nowMs - (this.readAtMs.get(service) ?? -Infinity) >= ROW_REFRESH_INTERVAL_MS)
    if (!isDue) return
    this.staleServices.delete(service)
    this.readAtMs.set(service, nowMs)
    const isReachable = await this.store.read(service)
    if (!isReachable) this.ejectUnderAllowanceDuringOutage(service)
    else if (rank < DETECTORS_PER_SERVICE) await this.maintainAsDetector(service, rank)
  }

  private async maintainAsDetector (service: string, rank: number): Promise<void> {
    const allowance = this.store.allowance(service)
    for (const { targetId } of allowance.active) {
      if (this.store.cachedRow(service).row.entries.some(entry => entry.targetId === targetId)) this.stopAllowanceEjection(service, targetId)
    }
    const renewal = rank < ALLOWANCE_HOLDERS_PER_SERVICE && allowance.isRenewalDue ? [grantAllowance(ALLOWANCE_HOLDERS_PER_SERVICE)] : []
    const edits: readonly RowEdit[] = [restoreFloor, ...renewal]
    for (const edit of edits) await this.editRow(service, edit)
  }

  /** Continues the agreed ejections under this process's allowance, highest severity first, before the lease on the cached row ends. */
  private ejectUnderAllowanceDuringOutage (service: string): void {
    const ejected = this.store.cachedRow(service).row.entries.filter(entry => entry.stage === 'ejected')
    for (const entry of [...ejected].sort((a, b) => b.severity - a.severity)) this.ejectUnderAllowance(service, entry.targetId)
  }

  private ejectUnderAllowance (service: string, targetId: string): boolean {
    const isEjected = this.store.allowance(service).eject(targetId, countedSlots(this.options.capacity(service), targetId))
    if (isEjected) this.publishAllowanceHint()
    return isEjected
  }

  private stopAllowanceEjection (service: string, targetId: string): void {
    if (!this.store.allowance(service).active.some(ejection => ejection.targetId === targetId)) return
    this.store.allowance(service).stop(targetId)
    this.publishAllowanceHint()
  }

  private publishAllowanceHint (): void {
    const { bus } = this.options
    bus.publish('ejection', `${ALLOWANCE_HINT_PREFIX}${bus.self.instanceId}`, {}, PEER_EJECTION_LIFETIME_MS)
  }

  private async editRow (service: string, edit: RowEdit): Promise<EditOutcome> {
    const outcome = await this.store.edit(service, edit)
    if (outcome === 'applied') {
      this.readAtMs.set(service, this.options.clock.monotonicMs())
      this.options.bus.publish('ejection', `${ROW_HINT_PREFIX}${service}`, { version: this.store.cachedRow(service).version }, HINT_LIFETIME_MS)
    }
    return outcome
  }

  private handleHint (entry: GossipEntry): void {
    if (entry.key.startsWith(ALLOWANCE_HINT_PREFIX)) this.peerEjections.markChanged(entry.origin.instanceId)
    if (!entry.key.startsWith(ROW_HINT_PREFIX)) return
    const service = entry.key.slice(ROW_HINT_PREFIX.length)
    const { version } = entry.value as { readonly version?: unknown }
    if (typeof version === 'number' && version > this.store.cachedRow(service).version) this.staleServices.add(service)
  }

  private async readAllIfDue (): Promise<void> {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.allReadAtMs < READ_ALL_INTERVAL_MS) return
    this.allReadAtMs = nowMs
    await this.store.readAll()
  }

  private viewInputs (service: string): EjectionInputs {
    return {
      cachedRow: this.store.cachedRow(service),
      capacity: this.options.capacity(service),
      allowance: this.store.allowance(service),
      peerEjections: this.peerEjections.unexpired(service),
      nowMs: this.options.clock.monotonicMs()
    }
  }

  private isWithinFloor (view: EjectionView, capacity: Capacity): boolean {
    const ejectedSlots = [...view.statuses.keys()].reduce((sum, targetId) => sum + countedSlots(capacity, targetId), 0)
    return ejectedSlots <= ejectableSlots(capacity) || ejectedSlots === 0
  }

  private ownRank (service: string): number {
    return this.ranks.ownRank(service)
  }
}
