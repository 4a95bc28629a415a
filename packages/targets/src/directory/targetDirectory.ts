import type { Clock, DirectoryEntry, InstanceDirectory, Log, PeerBus, GossipEntry, Target, TargetDirectory } from '@lovagehoist/common'

/** Dependencies of the directory. */
export interface TargetDirectoryOptions {
  readonly instances: InstanceDirectory
  readonly clock: Clock
  readonly log: Log
  /** Gossips leaving targets between daemons; absent for a single daemon. */
  readonly bus?: PeerBus
  /** Interval between reads of the platform's directory. */
  readonly pollMs: number
}

/** Time for which peers keep the entry of a leaving target. */
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

/** Targets from the platform's directory, which lags behind, combined with more recent reports of leaving targets. */
export class PolledTargetDirectory implements TargetDirectory {
  private readonly byId = new Map<string, Target>()
  /** Most recently applied entries; the platform client returns the same object if nothing changed. */
  private lastApplied: readonly DirectoryEntry[] | undefined
  private readonly byService = new Map<string, readonly Target[]>()
  /** Start time of each leaving target by ID. */
  private readonly leaving = new Map<string, number>()
  private readonly listeners = new Set<(service: string) => void>()
  private hasList = false

  private constructor (private readonly options: TargetDirectoryOptions) {
    options.bus?.onEntry('leaving', entry => { this.applyLeavingReport(entry) })
  }

  /**
   * Creates an empty directory.
   *
   * @param options - Dependencies and the polling interval.
   * @returns The directory.
   */
  static create (options: TargetDirectoryOptions): PolledTargetDirectory {
    return new PolledTargetDirectory(options)
  }

  /**
   * Polls the platform's directory until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh()
      await this.options.clock.sleepMs(this.options.pollMs, signal)
    }
  }

  /** Reads the platform's directory once; keeps the known targets if it can't be read. */
  async refresh (): Promise<void> {
    const listed = await this.options.instances.list()
    if (listed.isErr() || listed.value === this.lastApplied) return
    this.lastApplied = listed.value
    this.apply(listed.value.filter(entry => entry.role === 'target').map(toTarget))
  }

  /** Applies the targets that peers know, unless a list has been applied already. */
  applyPeerTargets (targets: readonly Target[]): void {
    if (!this.hasList) this.apply(targets)
  }

  /** Whether a list has been applied, from the platform or from peers. */
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
    this.rebuildServiceIndex()
  }

  readonly onChange = (listener: (service: string) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Applies a peer's report that a target is leaving, only if it refers to the same start of the target. */
  private applyLeavingReport ({ key, value }: GossipEntry): void {
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
    for (const entry of this.options.bus?.entries('leaving') ?? []) this.applyLeavingReport(entry)
    if (JSON.stringify([...this.byId.values()]) !== before) this.rebuildServiceIndex()
  }

  private rebuildServiceIndex (): void {
    const services = new Set([...this.byService.keys(), ...[...this.byId.values()].map(target => target.service)])
    this.byService.clear()
    for (const service of services) {
      this.byService.set(service, [...this.byId.values()].filter(target => target.service === service))
    }
    for (const service of services) for (const listener of this.listeners) listener(service)
  }
}
