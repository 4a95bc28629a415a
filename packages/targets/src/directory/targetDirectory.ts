import type { Clock, DirectoryEntry, InstanceDirectory, Log, PeerBus, GossipEntry, Target, TargetDirectory } from '@lovagehoist/common'

/** What the directory needs. */
export interface TargetDirectoryOptions {
  readonly instances: InstanceDirectory
  readonly clock: Clock
  readonly log: Log
  /** Spreads signs of leaving between daemons; absent for a daemon by itself. */
  readonly bus?: PeerBus
  /** Time between two reads of the platform's list. */
  readonly pollMs: number
}

/** Time for which daemons remember that a target is leaving. */
const LEAVING_LIFETIME_MS = 600_000

const toTarget = (entry: DirectoryEntry): Target => ({
  id: entry.id,
  service: entry.service,
  host: entry.host,
  port: entry.port,
  slots: entry.slots,
  startedAtMs: entry.startedAtMs,
  region: entry.region,
  availabilityZone: entry.availabilityZone,
  isLeaving: entry.state === 'leaving'
})

/** Targets from the platform's lagging list, corrected by signs of leaving. */
export class PolledTargetDirectory implements TargetDirectory {
  private readonly byId = new Map<string, Target>()
  /** List as it was applied last; an unchanged one is the same object. */
  private applied: readonly DirectoryEntry[] | undefined
  private readonly byService = new Map<string, readonly Target[]>()
  /** Start of each target that is leaving, by id. */
  private readonly leaving = new Map<string, number>()
  private readonly listeners = new Set<(service: string) => void>()
  private hasList = false

  private constructor (private readonly options: TargetDirectoryOptions) {
    options.bus?.onEntry('leaving', entry => { this.takeWord(entry) })
  }

  /**
   * Creates an empty directory.
   *
   * @param options - The platform's list and the time between reads.
   * @returns The directory.
   */
  static create (options: TargetDirectoryOptions): PolledTargetDirectory {
    return new PolledTargetDirectory(options)
  }

  /**
   * Follows the platform's list until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh()
      await this.options.clock.sleepMs(this.options.pollMs, signal)
    }
  }

  /** Reads the platform's list once; keeps the known targets when it can't be read. */
  async refresh (): Promise<void> {
    const listed = await this.options.instances.list()
    if (listed.isErr() || listed.value === this.applied) return
    this.applied = listed.value
    this.apply(listed.value.filter(entry => entry.role === 'target').map(toTarget))
  }

  /** Takes the targets that peers know, unless the platform's list has been read. */
  takeFromPeers (targets: readonly Target[]): void {
    if (!this.hasList) this.apply(targets)
  }

  /** Whether a list has been had, from the platform or from peers. */
  readonly isKnown = (): boolean => this.hasList

  readonly targets = (service: string): readonly Target[] => this.byService.get(service) ?? []

  readonly find = (targetId: string): Target | undefined => this.byId.get(targetId)

  readonly markLeaving = (targetId: string, sign: 'target-answer' | 'peer'): void => {
    const target = this.byId.get(targetId)
    if (target === undefined || this.leaving.get(targetId) === target.startedAtMs) return
    this.leaving.set(targetId, target.startedAtMs)
    if (sign === 'target-answer') this.options.bus?.publish('leaving', targetId, { startedAtMs: target.startedAtMs }, LEAVING_LIFETIME_MS)
    this.options.log.info('target is leaving', { targetId, sign })
    this.byId.set(targetId, { ...target, isLeaving: true })
    this.rebuild()
  }

  readonly onChange = (listener: (service: string) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Believes a peer only about the same start of the target. */
  private takeWord ({ key, value }: GossipEntry): void {
    const { startedAtMs } = (value ?? {}) as { readonly startedAtMs?: unknown }
    if (startedAtMs === this.byId.get(key)?.startedAtMs) this.markLeaving(key, 'peer')
  }

  private isLeaving (target: Target): boolean {
    return target.isLeaving || this.leaving.get(target.id) === target.startedAtMs
  }

  private apply (targets: readonly Target[]): void {
    const before = JSON.stringify([...this.byId.values()])
    this.hasList = true
    this.byId.clear()
    for (const target of targets) this.byId.set(target.id, { ...target, isLeaving: this.isLeaving(target) })
    for (const [id, startedAtMs] of this.leaving) if (this.byId.get(id)?.startedAtMs !== startedAtMs) this.leaving.delete(id)
    for (const entry of this.options.bus?.entries('leaving') ?? []) this.takeWord(entry)
    if (JSON.stringify([...this.byId.values()]) !== before) this.rebuild()
  }

  private rebuild (): void {
    const services = new Set([...this.byService.keys(), ...[...this.byId.values()].map(target => target.service)])
    this.byService.clear()
    for (const service of services) {
      this.byService.set(service, [...this.byId.values()].filter(target => target.service === service))
    }
    for (const service of services) for (const listener of this.listeners) listener(service)
  }
}
