import type { Clock, Invariants, PeerBus, Random, GossipEntry, TableService } from '@lovagehoist/common'
import { budgetOf, slotsOf } from './capacity.js'
import type { Capacity } from './capacity.js'
import { REFRESH_MS, USE_LIFETIME_MS } from './durations.js'
import { EjectionStore } from './ejectionStore.js'
import type { EditOutcome } from './ejectionStore.js'
import { ownUses, viewOf } from './ejectionView.js'
import type { EjectionInputs, EjectionView } from './ejectionView.js'
import { ServiceRanks } from './serviceRanks.js'
import { PeerUses } from './peerUses.js'
import { eject, giveBack, grant, moveTo } from './rowEdits.js'
import type { EjectionOrder, RowEdit } from './rowEdits.js'

export { capacityOf } from './capacity.js'
export type { EjectionOrder } from './rowEdits.js'

/** What ejections need. */
export interface EjectionsOptions {
  readonly table: TableService
  readonly bus: PeerBus
  readonly clock: Clock
  readonly random: Random
  readonly invariants: Invariants
  /** Names of the services of the document in force. */
  readonly services: () => readonly string[]
  /** Capacity of a service as this daemon sees it now. */
  readonly capacity: (service: string) => Capacity
}

/** Daemons that judge the evidence of one service. */
export const JUDGES = 3
/** Daemons that hold allowances for one service. */
const HOLDERS = 2
const HINT_LIFETIME_MS = 600_000
const LIST_INTERVAL_MS = 60_000
const ROW_HINT = 'row/'
const USE_HINT = 'use/'

/** How an order to eject ended; `allowance` means that it holds under an allowance while the table can't be reached. */
export type EjectOutcome = EditOutcome | 'allowance'

/** Ejections of this daemon's view: agreed in the table, or under allowances reserved there beforehand. */
export class Ejections {
  private readonly store: EjectionStore
  private readonly peerUses: PeerUses
  private readonly ranks: ServiceRanks
  private readonly readAtMs = new Map<string, number>()
  private readonly stale = new Set<string>()
  private listedAtMs = -Infinity

  private constructor (private readonly options: EjectionsOptions) {
    this.ranks = ServiceRanks.create(options.bus)
    this.store = EjectionStore.create({ ...options, self: options.bus.self })
    this.peerUses = PeerUses.create(options.clock, options.bus, () => options.services().flatMap(service => ownUses(service, this.inputs(service))))
    options.bus.onEntry('ejection', entry => { this.takeHint(entry) })
  }

  /**
   * Creates the view; nothing is ejected at first.
   *
   * @param options - Table, peers, time and capacity.
   * @returns The view.
   */
  static create (options: EjectionsOptions): Ejections {
    return new Ejections(options)
  }

  /** What this daemon keeps out of a service now; leases are checked at each call. */
  view (service: string): EjectionView {
    const inputs = this.inputs(service)
    const view = viewOf(service, inputs)
    this.options.invariants.check('lease-fence', view.validUntilMs > inputs.nowMs, { service })
    this.options.invariants.check('floor', view.statuses.size === 0 || this.isFloorKept(view, inputs.capacity), { service })
    return view
  }

  /** Agreed row of a service as last known, valid or not. */
  row (service: string): ReturnType<EjectionStore['copy']> {
    return this.store.copy(service)
  }

  /** Slots that this process may eject by itself while the table can't be reached. */
  allowanceSlots (service: string): number {
    return this.store.allowance(service).slots
  }

  /** Whether this daemon is one of the few that judge a service. */
  isJudge (service: string): boolean {
    return this.rankOf(service) < JUDGES
  }

  /** Daemons that judge a service, as the member list here has it. */
  judges (service: string): readonly string[] {
    return this.ranks.of(service).slice(0, JUDGES)
  }

  /**
   * Ejects a target: in the table, or else under this process's allowance.
   *
   * @param service - Service.
   * @param order - The target and why.
   * @returns How it ended; `refused` when the floor forbids it or it is ejected already.
   */
  async eject (service: string, order: EjectionOrder): Promise<EjectOutcome> {
    const outcome = await this.change(service, eject(order))
    if (outcome === 'outage') return this.use(service, order.targetId) ? 'allowance' : 'outage'
    this.stopUse(service, order.targetId)
    return outcome
  }

  /** Gives a target a small share of work, or all of it. */
  async moveTo (service: string, targetId: string, stage: 'trial' | 'released'): Promise<EditOutcome> {
    this.stopUse(service, targetId)
    return await this.change(service, moveTo(targetId, stage))
  }

  /** One round of upkeep: reads what is due, renews allowances, gives back what the floor needs. */
  async tick (): Promise<void> {
    await Promise.all([
      this.listIfDue(),
      this.peerUses.refresh(),
      ...this.options.services().map(async service => { await this.keep(service) })
    ])
  }

  private async keep (service: string): Promise<void> {
    const rank = this.rankOf(service)
    const { row } = this.store.copy(service)
    const nowMs = this.options.clock.monotonicMs()
    const isListed = row.entries.length > 0 || rank < JUDGES
    const isDue = this.stale.has(service) || (isListed && nowMs - (this.readAtMs.get(service) ?? -Infinity) >= REFRESH_MS)
    if (!isDue) return
    this.stale.delete(service)
    this.readAtMs.set(service, nowMs)
    const isRead = await this.store.read(service)
    if (!isRead) this.bridgeOutage(service)
    else if (rank < JUDGES) await this.maintain(service, rank)
  }

  private async maintain (service: string, rank: number): Promise<void> {
    const allowance = this.store.allowance(service)
    for (const { targetId } of allowance.active) {
      if (this.store.copy(service).row.entries.some(entry => entry.targetId === targetId)) this.stopUse(service, targetId)
    }
    const renewal = rank < HOLDERS && allowance.isRenewalDue ? [grant(HOLDERS)] : []
    const edits: readonly RowEdit[] = [giveBack, ...renewal]
    for (const edit of edits) await this.change(service, edit)
  }

  /** Keeps the sickest agreed ejections under this process's allowance while the copy of the row runs out. */
  private bridgeOutage (service: string): void {
    const held = this.store.copy(service).row.entries.filter(entry => entry.stage === 'ejected')
    for (const entry of [...held].sort((a, b) => b.severity - a.severity)) this.use(service, entry.targetId)
  }

  private use (service: string, targetId: string): boolean {
    const isUsed = this.store.allowance(service).use(targetId, slotsOf(this.options.capacity(service), targetId))
    if (isUsed) this.publishUses()
    return isUsed
  }

  private stopUse (service: string, targetId: string): void {
    if (!this.store.allowance(service).active.some(use => use.targetId === targetId)) return
    this.store.allowance(service).stop(targetId)
    this.publishUses()
  }

  private publishUses (): void {
    const { bus } = this.options
    bus.publish('ejection', `${USE_HINT}${bus.self.instanceId}`, {}, USE_LIFETIME_MS)
  }

  private async change (service: string, edit: RowEdit): Promise<EditOutcome> {
    const outcome = await this.store.edit(service, edit)
    if (outcome === 'applied') {
      this.readAtMs.set(service, this.options.clock.monotonicMs())
      this.options.bus.publish('ejection', `${ROW_HINT}${service}`, { version: this.store.copy(service).version }, HINT_LIFETIME_MS)
    }
    return outcome
  }

  private takeHint (entry: GossipEntry): void {
    if (entry.key.startsWith(USE_HINT)) this.peerUses.hint(entry.origin.instanceId)
    if (!entry.key.startsWith(ROW_HINT)) return
    const service = entry.key.slice(ROW_HINT.length)
    const { version } = entry.value as { readonly version?: unknown }
    if (typeof version === 'number' && version > this.store.copy(service).version) this.stale.add(service)
  }

  private async listIfDue (): Promise<void> {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.listedAtMs < LIST_INTERVAL_MS) return
    this.listedAtMs = nowMs
    await this.store.readAll()
  }

  private inputs (service: string): EjectionInputs {
    return {
      copy: this.store.copy(service),
      capacity: this.options.capacity(service),
      allowance: this.store.allowance(service),
      peerUses: this.peerUses.valid(service),
      nowMs: this.options.clock.monotonicMs()
    }
  }

  private isFloorKept (view: EjectionView, capacity: Capacity): boolean {
    const outSlots = [...view.statuses.keys()].reduce((sum, targetId) => sum + slotsOf(capacity, targetId), 0)
    return outSlots <= budgetOf(capacity) || outSlots === 0
  }

  private rankOf (service: string): number {
    return this.ranks.ownOf(service)
  }
}
