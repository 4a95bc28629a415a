import { sha256Hex } from '@lovagehoist/common'
import type { Clock, ListedTarget, Log, TargetListing } from '@lovagehoist/common'

/** A listed target as this daemon knows it. */
export interface RosterEntry {
  readonly target: ListedTarget
  /** Monotonic time from which it runs at full speed. */
  readonly warmAtMs: number
  readonly firstSeenAtMs: number
}

/** What the roster needs. */
export interface TargetRosterOptions {
  readonly clock: Clock
  readonly log: Log
  /** Called when a target is gone or has started anew under its id. */
  readonly onForget: (targetId: string) => void
}

/** Time after the store's return in which targets whose entries lapsed register again; stated by the protocol. */
const REREGISTER_MS = 2_000
/** Time without a confirmed listing after which entries may have lapsed because of the store. */
const UNSTEADY_MS = 3_000

const DIGEST_DIGITS = 12

const digestOfTargets = (targets: readonly ListedTarget[]): string => {
  const lines = targets.map(({ id, startedAtMs, isLeaving, host, port, service, slots }) =>
    `${id} ${startedAtMs} ${isLeaving ? 1 : 0} ${host}:${port} ${service} ${slots}`)
  return sha256Hex(lines.sort().join('\n')).slice(0, DIGEST_DIGITS)
}

/** Targets by the newest listing; entries that lapsed with the store are kept until they had time to return. */
export class TargetRoster {
  private readonly entries = new Map<string, RosterEntry>()
  private readonly lapsed = new Map<string, RosterEntry>()
  private byService = new Map<string, readonly RosterEntry[]>()
  private storeVersion = -1
  private confirmedMs = -Infinity
  private returnedAtMs = -Infinity
  private listing: TargetListing | undefined
  private listingDigest = ''

  private constructor (private readonly options: TargetRosterOptions) {}

  /**
   * Creates a roster without targets.
   *
   * @param options - Clock, log and what is told of targets that are gone.
   * @returns The roster.
   */
  static create (options: TargetRosterOptions): TargetRoster {
    return new TargetRoster(options)
  }

  /** Whether any listing was taken. */
  get hasListing (): boolean {
    return this.listing !== undefined
  }

  /** Digest of all that matters in the newest listing. */
  get digest (): string {
    return this.listingDigest
  }

  /** Newest listing, for other daemons. */
  get current (): TargetListing | undefined {
    return this.listing
  }

  /** Monotonic time at which the store last held what the roster holds. */
  get confirmedAtMs (): number {
    return this.confirmedMs
  }

  /**
   * Targets of a service that may get work.
   *
   * @param service - Name of the service.
   * @returns Entries that are not leaving.
   */
  ofService (service: string): readonly RosterEntry[] {
    return this.byService.get(service) ?? []
  }

  /** Service of a target; undefined for one that is not listed. */
  readonly serviceOf = (targetId: string): string | undefined => this.entries.get(targetId)?.target.service ?? this.lapsed.get(targetId)?.target.service

  /** All entries, those that are leaving included. */
  all (): readonly RosterEntry[] {
    return [...this.entries.values(), ...this.lapsed.values()]
  }

  /**
   * Notes that the store still held the newest listing.
   *
   * @param atMs - Monotonic time of that knowledge.
   */
  confirm (atMs: number): void {
    if (atMs <= this.confirmedMs) return
    if (atMs - this.confirmedMs > UNSTEADY_MS) this.returnedAtMs = this.options.clock.monotonicMs()
    this.confirmedMs = atMs
    this.dropLapsed()
  }

  /** Counts time that the monotonic clock missed as age of the listing. */
  age (missedMs: number): void {
    this.confirmedMs -= missedMs
  }

  /**
   * Takes a listing; one that is older than the newest is left out.
   *
   * @param listing - Listing.
   * @param readAtMs - Monotonic time at which it was asked for.
   */
  apply (listing: TargetListing, readAtMs: number): void {
    if (listing.storeVersion < this.storeVersion) return
    this.confirm(readAtMs)
    this.storeVersion = listing.storeVersion
    const digest = digestOfTargets(listing.targets)
    const isChanged = digest !== this.listingDigest
    this.listing = listing
    this.listingDigest = digest
    if (!isChanged) return
    this.replace(listing.targets)
    for (const { key, reason } of listing.skipped) this.options.log.warn('skipped a target row', { targetId: key, reason })
  }

  private replace (targets: readonly ListedTarget[]): void {
    const listed = new Set(targets.map(({ id }) => id))
    for (const [id, entry] of this.entries) if (!listed.has(id)) this.remove(id, entry)
    for (const target of targets) this.put(target)
    this.rebuild()
  }

  private put (target: ListedTarget): void {
    const { clock, log, onForget } = this.options
    const nowMs = clock.monotonicMs()
    const known = this.entries.get(target.id) ?? this.lapsed.get(target.id)
    this.lapsed.delete(target.id)
    const isSame = known !== undefined && known.target.startedAtMs === target.startedAtMs
    if (known !== undefined && !isSame) onForget(target.id)
    this.entries.set(target.id, isSame
      ? { ...known, target }
      : { target, warmAtMs: nowMs + target.coldForMs, firstSeenAtMs: nowMs })
    if (!isSame) log.info('target seen', { targetId: target.id, service: target.service, host: target.host, port: target.port, zone: target.availabilityZone, startedAtMs: target.startedAtMs, storeVersion: this.storeVersion })
    else if (target.isLeaving && !known.target.isLeaving) log.info('target leaving', { targetId: target.id, service: target.service, storeVersion: this.storeVersion })
  }

  private remove (id: string, entry: RosterEntry): void {
    const { clock, log } = this.options
    this.entries.delete(id)
    const isUnsteady = clock.monotonicMs() - this.returnedAtMs < REREGISTER_MS
    if (isUnsteady && !entry.target.isLeaving) {
      this.lapsed.set(id, entry)
      log.info('target lapsed with the store', { targetId: id, service: entry.target.service, storeVersion: this.storeVersion })
      return
    }
    this.forget(id, entry)
  }

  private forget (id: string, entry: RosterEntry): void {
    this.options.log.info('target gone', { targetId: id, service: entry.target.service, storeVersion: this.storeVersion })
    this.options.onForget(id)
  }

  private dropLapsed (): void {
    if (this.lapsed.size === 0 || this.options.clock.monotonicMs() - this.returnedAtMs < REREGISTER_MS) return
    for (const [id, entry] of this.lapsed) this.forget(id, entry)
    this.lapsed.clear()
    this.rebuild()
  }

  private rebuild (): void {
    const services = new Map<string, RosterEntry[]>()
    for (const entry of this.all()) {
      if (entry.target.isLeaving) continue
      const list = services.get(entry.target.service) ?? []
      list.push(entry)
      services.set(entry.target.service, list)
    }
    this.byService = services
  }
}
