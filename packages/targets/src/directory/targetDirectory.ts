import type { Clock, DirectoryEntry, InstanceDirectory, Log, Target, TargetDirectory } from '@lovagehoist/common'

/** What the directory needs. */
export interface TargetDirectoryOptions {
  readonly instances: InstanceDirectory
  readonly clock: Clock
  readonly log: Log
  /** Time between two reads of the platform's list. */
  readonly pollMs: number
}

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
  private readonly leaving = new Set<string>()
  private readonly listeners = new Set<(service: string) => void>()
  private hasList = false

  private constructor (private readonly options: TargetDirectoryOptions) {}

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

  readonly markLeaving = (targetId: string): void => {
    const target = this.byId.get(targetId)
    if (target === undefined || this.leaving.has(targetId)) return
    this.leaving.add(targetId)
    this.byId.set(targetId, { ...target, isLeaving: true })
    this.rebuild()
  }

  readonly onChange = (listener: (service: string) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private apply (targets: readonly Target[]): void {
    const before = JSON.stringify([...this.byId.values()])
    this.hasList = true
    this.byId.clear()
    for (const target of targets) {
      this.byId.set(target.id, this.leaving.has(target.id) ? { ...target, isLeaving: true } : target)
    }
    for (const id of this.leaving) if (!this.byId.has(id)) this.leaving.delete(id)
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
