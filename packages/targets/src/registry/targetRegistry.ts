import { sha256Hex } from '@lovagehoist/common'
import type { Clock, ListedTarget, Log, TargetListing } from '@lovagehoist/common'

/** A listed target with what this daemon has observed of it. */
export interface RegisteredTarget {
  readonly target: ListedTarget
  /** Monotonic time at which its cold start ends. */
  readonly warmAtMs: number
  readonly firstSeenAtMs: number
}

/** Dependencies of the registry. */
export interface TargetRegistryOptions {
  readonly clock: Clock
  readonly log: Log
  /** Called when a target was removed or restarted under the same ID. */
  readonly onForget: (targetId: string) => void
  /** Called after a listing with other properties than before was applied. */
  readonly onChange?: () => void
}

/** Time after a store outage in which targets with expired entries register again; as the protocol specifies. */
const REREGISTRATION_MS = 2_000
/** Time without a confirmed listing after which entries may have expired because of a store outage. */
const STORE_OUTAGE_MS = 3_000

const DIGEST_DIGITS = 12

const computeDigest = (targets: readonly ListedTarget[]): string => {
  const lines = targets.map(({ id, startedAtMs, isLeaving, host, port, service, slots }) =>
    `${id} ${startedAtMs} ${isLeaving ? 1 : 0} ${host}:${port} ${service} ${slots}`)
  return sha256Hex(lines.sort().join('\n')).slice(0, DIGEST_DIGITS)
}

/** Targets of the newest listing. Entries that expired during a store outage are kept until their targets had time to register again. */
export class TargetRegistry {
  private readonly entries = new Map<string, RegisteredTarget>()
  private readonly expired = new Map<string, RegisteredTarget>()
  private byService = new Map<string, readonly RegisteredTarget[]>()
  private storeVersion = -1
  private lastConfirmedMs = -Infinity
  private storeRecoveredAtMs = -Infinity
  private listing: TargetListing | undefined
  private listingDigest = ''

  private constructor (private readonly options: TargetRegistryOptions) {}

  /**
   * Creates a registry without targets.
   *
   * @param options - Clock, log and the callback for removed targets.
   * @returns The registry.
   */
  static create (options: TargetRegistryOptions): TargetRegistry {
    return new TargetRegistry(options)
  }

  /** Whether any listing has been applied. */
  get hasListing (): boolean {
    return this.listing !== undefined
  }

  /** Digest of all properties of the newest listing that affect routing. */
  get digest (): string {
    return this.listingDigest
  }

  /** Newest listing, for passing on to other daemons. */
  get current (): TargetListing | undefined {
    return this.listing
  }

  /** Monotonic time at which the store was last known to hold the newest listing. */
  get confirmedAtMs (): number {
    return this.lastConfirmedMs
  }

  /**
   * Returns the targets of a service that may receive requests.
   *
   * @param service - Name of the service.
   * @returns Entries of targets that are not leaving.
   */
  activeTargets (service: string): readonly RegisteredTarget[] {
    return this.byService.get(service) ?? []
  }

  /** Returns the service of a target; undefined if the target is not listed. */
  readonly serviceOf = (targetId: string): string | undefined => this.entries.get(targetId)?.target.service ?? this.expired.get(targetId)?.target.service

  /** Whether this start of a target is listed. */
  isCurrent ({ id, startedAtMs }: Pick<ListedTarget, 'id' | 'startedAtMs'>): boolean {
    return (this.entries.get(id) ?? this.expired.get(id))?.target.startedAtMs === startedAtMs
  }

  /** Whether a target is listed as leaving. */
  isLeaving (targetId: string): boolean {
    return this.entries.get(targetId)?.target.isLeaving === true
  }

  /** Returns all entries, including those of leaving targets. */
  all (): readonly RegisteredTarget[] {
    return [...this.entries.values(), ...this.expired.values()]
  }

  /**
   * Records that the store still held the newest listing.
   *
   * @param atMs - Monotonic time at which the store held it.
   */
  confirm (atMs: number): void {
    if (atMs <= this.lastConfirmedMs) return
    if (atMs - this.lastConfirmedMs > STORE_OUTAGE_MS) this.storeRecoveredAtMs = this.options.clock.monotonicMs()
    this.lastConfirmedMs = atMs
    this.dropExpired()
  }

  /** Adds time that the monotonic clock missed, as during a suspension of the machine, to the age of the listing. */
  addMissedTime (missedMs: number): void {
    this.lastConfirmedMs -= missedMs
  }

  /**
   * Applies a listing; one older than the newest is ignored.
   *
   * @param listing - Listing read from the store or received from another daemon.
   * @param readAtMs - Monotonic time at which the read was started.
   */
  apply (listing: TargetListing, readAtMs: number): void {
    if (listing.storeVersion < this.storeVersion) return
    this.confirm(readAtMs)
    this.storeVersion = listing.storeVersion
    const digest = computeDigest(listing.targets)
    const isChanged = digest !== this.listingDigest
    this.listing = listing
    this.listingDigest = digest
    if (!isChanged) return
    this.replaceAll(listing.targets)
    for (const { key, reason } of listing.skipped) this.options.log.warn('skipped a target row', { targetId: key, reason })
    this.options.onChange?.()
  }

  private replaceAll (targets: readonly ListedTarget[]): void {
    const listed = new Set(targets.map(({ id }) => id))
    for (const [id, entry] of this.entries) if (!listed.has(id)) this.handleMissing(id, entry)
    for (const target of targets) this.upsert(target)
    this.rebuildServiceIndex()
  }

  private upsert (target: ListedTarget): void {
    const { clock, log, onForget } = this.options
    const nowMs = clock.monotonicMs()
    const known = this.entries.get(target.id) ?? this.expired.get(target.id)
    this.expired.delete(target.id)
    const isSameProcess = known !== undefined && known.target.startedAtMs === target.startedAtMs
    if (known !== undefined && !isSameProcess) onForget(target.id)
    this.entries.set(target.id, isSameProcess
      ? { ...known, target }
      : { target, warmAtMs: nowMs + target.coldForMs, firstSeenAtMs: nowMs })
    if (!isSameProcess) log.info('target seen', { targetId: target.id, service: target.service, host: target.host, port: target.port, zone: target.availabilityZone, startedAtMs: target.startedAtMs, storeVersion: this.storeVersion })
    else if (target.isLeaving && !known.target.isLeaving) log.info('target leaving', { targetId: target.id, service: target.service, storeVersion: this.storeVersion })
  }

  private handleMissing (id: string, entry: RegisteredTarget): void {
    const { clock, log } = this.options
    this.entries.delete(id)
    const isStoreRecovering = clock.monotonicMs() - this.storeRecoveredAtMs < REREGISTRATION_MS
    if (isStoreRecovering && !entry.target.isLeaving) {
      this.expired.set(id, entry)
      log.info('target lapsed with the store', { targetId: id, service: entry.target.service, storeVersion: this.storeVersion })
      return
    }
    this.reportRemoved(id, entry)
  }

  private reportRemoved (id: string, entry: RegisteredTarget): void {
    this.options.log.info('target gone', { targetId: id, service: entry.target.service, storeVersion: this.storeVersion })
    this.options.onForget(id)
  }

  private dropExpired (): void {
    if (this.expired.size === 0 || this.options.clock.monotonicMs() - this.storeRecoveredAtMs < REREGISTRATION_MS) return
    for (const [id, entry] of this.expired) this.reportRemoved(id, entry)
    this.expired.clear()
    this.rebuildServiceIndex()
  }

  private rebuildServiceIndex (): void {
    const services = new Map<string, RegisteredTarget[]>()
    for (const entry of this.all()) {
      if (entry.target.isLeaving) continue
      const list = services.get(entry.target.service) ?? []
      list.push(entry)
      services.set(entry.target.service, list)
    }
    this.byService = services
  }
}
