import PQueue from 'p-queue'
import { configAnnouncementSchema, withTimeout } from '@lovagehoist/common'
import type { AcceptedConfig, Clock, ConfigSource, Invariants, JsonValue, LocalStatus, Log, PeerBus, Platform, Random } from '@lovagehoist/common'
import type { Registry } from 'prom-client'
import { readEnvironment } from '../environment/readRows.js'
import { ConfirmationTracker } from './confirmationTracker.js'
import { fetchDocument } from './fetchDocument.js'
import { FleetMajority } from './fleetMajority.js'
import { createFollowerMetrics } from './followerMetrics.js'
import type { FollowerMetrics } from './followerMetrics.js'
import { HeldConfig } from './heldConfig.js'
import type { PrepareHook } from './heldConfig.js'
import { DOCUMENT_METHOD, createDocumentHandler } from './peerDocuments.js'
import { VERSION_METHOD, queryVersion, choosePeers, createVersionHandler } from './peerVersions.js'
import { InterruptibleSleep } from './interruptibleSleep.js'

/** Dependencies and settings of the follower. */
export interface ConfigFollowerOptions {
  readonly environment: string
  readonly platform: Platform
  readonly bus: PeerBus
  readonly status: LocalStatus
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly invariants: Invariants
  readonly registry: Registry
  /** Mean time between two reads of the environment's row. */
  readonly pollMs: number
  /** Whether this daemon runs without peers: it then keeps serving the version it holds. */
  readonly isAlone: boolean
}

/** A known newer version that is still to be fetched and put in force here. */
interface PendingVersion {
  readonly version: number
  readonly digest: string
  readonly discoveredAtMs: number
}

/** Time since the held version was last confirmed as the newest, after which a daemon fences itself and serves no requests. */
export const FENCE_AFTER_MS = 4_500
const ANNOUNCEMENT_TTL_MS = 60_000
const TICK_MS = 500
/** Longest wait for a read of the table. */
const READ_TIMEOUT_MS = 1_000
/** Age of the last confirmation from which peers are queried as well. */
const QUERY_PEERS_AFTER_MS = 2_000
/** Peers queried in each tick while the last confirmation is older than `QUERY_PEERS_AFTER_MS` or there is none. */
const PEERS_QUERIED_UNCONFIRMED = 4
/** Peers queried in each tick while the last confirmation is recent, but the table can't be read. */
const PEERS_QUERIED = 2
/** Queries in flight at the same time, and queries that may queue behind them. */
const MAX_CONCURRENT_QUERIES = 8
/** Width of the jitter of a poll interval, as a fraction of the interval. */
const JITTER_SHARE = 0.5
const FETCH_RETRY_DELAY_MS = 250
const MS_PER_SECOND = 1_000

/**
 * Keeps the accepted configuration of an environment up to date from the table and from peers; versions only grow.
 *
 * The daemon serves only while a recent confirmation shows that it holds the newest version. A partitioned daemon thus
 * fences itself instead of serving an outdated configuration.
 */
export class ConfigFollower implements ConfigSource {
  private readonly held: HeldConfig
  private readonly confirmations: ConfirmationTracker
  private readonly majority: FleetMajority
  private readonly queryQueue = new PQueue({ concurrency: MAX_CONCURRENT_QUERIES })
  private readonly metrics: FollowerMetrics
  private readonly fetchSleep: InterruptibleSleep
  private readonly pollSleep: InterruptibleSleep
  private pending: PendingVersion | undefined
  private storeContactAtMs: number
  private hasStore = false

  private constructor (private readonly options: ConfigFollowerOptions) {
    const { clock, invariants, log, registry, bus } = options
    this.held = HeldConfig.create(invariants, log)
    this.confirmations = ConfirmationTracker.create(() => this.held.version)
    this.majority = FleetMajority.create(bus.self.instanceId)
    this.fetchSleep = InterruptibleSleep.create(clock)
    this.pollSleep = InterruptibleSleep.create(clock)
    this.storeContactAtMs = clock.monotonicMs()
    this.metrics = createFollowerMetrics(registry, {
      heldVersion: () => this.held.version,
      knownVersion: () => this.knownVersion,
      isCurrent: () => this.isServing(),
      storeContactAgeMs: () => clock.monotonicMs() - this.storeContactAtMs
    })
    bus.handle(DOCUMENT_METHOD, createDocumentHandler(this.held))
    bus.handle(VERSION_METHOD, createVersionHandler(options, { held: this.held, confirmations: this.confirmations, majority: this.majority }))
    bus.onEntry('config', entry => { this.onAnnouncement(entry.value) })
  }

  /**
   * Creates a follower without a configuration and registers its peer methods.
   *
   * @param options - Environment, platform, peers and poll interval.
   * @returns The follower.
   */
  static create (options: ConfigFollowerOptions): ConfigFollower {
    return new ConfigFollower(options)
  }

  readonly current = (): AcceptedConfig | undefined => this.held.current()

  readonly onChange = (listener: (config: AcceptedConfig) => void): (() => void) => this.held.onChange(listener)

  /** Adds a hook that is awaited before each configuration is put in force. */
  readonly onPrepare = (hook: PrepareHook): void => { this.held.onPrepare(hook) }

  /** Whether this daemon holds a configuration that was recently confirmed as the newest. */
  readonly isServing = (): boolean => this.held.version > 0 && (this.options.isAlone || this.confirmationAgeMs < FENCE_AFTER_MS)

  /** Configuration for serving requests; also undefined while this daemon is fenced. */
  readonly serving: ConfigSource = {
    current: () => this.isServing() ? this.held.current() : undefined,
    onChange: this.onChange,
    onPrepare: this.onPrepare
  }

  /** Whether this daemon runs without peers, and so never fences itself. */
  get isAlone (): boolean {
    return this.options.isAlone
  }

  /** Newest accepted version known to this daemon, whether in force here or still to be fetched. */
  get knownVersion (): number {
    return Math.max(this.held.version, this.pending?.version ?? 0)
  }

  /** Time since the held version was last confirmed as the newest, in milliseconds; infinite when it never was. */
  get confirmationAgeMs (): number {
    return this.confirmations.ageMs(this.options.clock.monotonicMs())
  }

  /**
   * Polls the table, queries peers and fetches new versions until stopped.
   *
   * @param signal - Ends the loops.
   */
  async run (signal: AbortSignal): Promise<void> {
    for (const entry of this.options.bus.entries('config')) this.onAnnouncement(entry.value)
    await Promise.all([this.runPollLoop(signal), this.runFetchLoop(signal), this.runPeerLoop(signal)])
  }

  /** State for the daemon's dump, bounded in size. */
  dump (): JsonValue {
    const ageMs = this.confirmationAgeMs
    return {
      environment: this.options.environment,
      version: this.held.version,
      digest: this.held.digest,
      knownVersion: this.knownVersion,
      isServing: this.isServing(),
      currencyAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      hasStore: this.hasStore,
      storeContactAgeMs: Math.round(this.options.clock.monotonicMs() - this.storeContactAtMs)
    }
  }

  /** Reads the environment's row once, schedules the fetch of a newer version and announces the version to peers. */
  async refresh (): Promise<void> {
    const { platform, environment, clock } = this.options
    const startedAtMs = clock.monotonicMs()
    const timed = await withTimeout(clock, READ_TIMEOUT_MS, readEnvironment(platform, environment))
    this.hasStore = timed.type === 'done' && timed.value.isOk()
    if (timed.type === 'timeout' || timed.value.isErr()) return
    const read = timed.value
    this.storeContactAtMs = startedAtMs
    const row = read.value.value
    if (row === undefined) return
    this.confirmations.add({ version: row.version, atMs: startedAtMs })
    this.scheduleFetch(row.version, row.digest)
    this.announce(row.version, row.digest)
  }

  private async runPollLoop (signal: AbortSignal): Promise<void> {
    const { pollMs, random } = this.options
    while (!signal.aborted) {
      await this.refresh()
      await this.pollSleep.sleepMs(pollMs * (1 - JITTER_SHARE / 2 + random.next() * JITTER_SHARE), signal)
    }
  }

  private async runPeerLoop (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.queryPeers()
      this.confirmByMajority()
      this.publishStatus()
      await this.options.clock.sleepMs(TICK_MS, signal)
    }
    this.queryQueue.clear()
  }

  /** Queries a member whose heartbeat shows a newer version and, without a recent confirmation from the table, a sample of others. */
  private queryPeers (): void {
    const ahead = this.options.bus.members().filter(member => member.configVersion > this.knownVersion).slice(0, 1)
    const sampledIds = choosePeers(this.options, this.peerQueryCount())
    for (const instanceId of new Set([...ahead.map(member => member.instanceId), ...sampledIds])) {
      if (this.queryQueue.size < MAX_CONCURRENT_QUERIES) this.queryQueue.add(async () => { await this.queryPeer(instanceId) }).catch(() => {})
    }
  }

  private peerQueryCount (): number {
    const ageMs = this.confirmationAgeMs
    if (this.hasStore && this.held.version > 0 && ageMs < QUERY_PEERS_AFTER_MS) return 0
    return ageMs < QUERY_PEERS_AFTER_MS ? PEERS_QUERIED : PEERS_QUERIED_UNCONFIRMED
  }

  private async queryPeer (instanceId: string): Promise<void> {
    const peerVersion = await queryVersion(this.options, instanceId)
    if (peerVersion === undefined) return
    const { version, digest, confirmedAtMs, holders, requestedAtMs } = peerVersion
    if (confirmedAtMs !== undefined) this.confirmations.add({ version, atMs: confirmedAtMs })
    if (version <= this.held.version) this.majority.merge(holders, requestedAtMs)
    this.scheduleFetch(version, digest)
    this.confirmByMajority()
  }

  /** Adds a confirmation if a majority of the known instances holds nothing newer. */
  private confirmByMajority (): void {
    const { bus, clock } = this.options
    const nowMs = clock.monotonicMs()
    this.majority.removeExpired(nowMs)
    const confirmation = this.majority.latestConfirmation(bus.members(), this.held.version, nowMs)
    if (confirmation !== undefined) this.confirmations.add(confirmation)
  }

  private publishStatus (): void {
    this.options.status.set({ configVersion: this.held.version, configDigest: this.held.digest, isReady: this.isServing() })
  }

  private onAnnouncement (value: JsonValue): void {
    const announcement = configAnnouncementSchema.safeParse(value)
    if (announcement.success && announcement.data.environment === this.options.environment) this.scheduleFetch(announcement.data.version, announcement.data.digest)
  }

  private scheduleFetch (version: number, digest: string): void {
    if (version <= this.knownVersion) return
    this.pending = { version, digest, discoveredAtMs: this.options.clock.monotonicMs() }
    this.fetchSleep.wake()
  }

  /** Announces a version to peers, unless it or a newer one is announced already. */
  private announce (version: number, digest: string): void {
    const { bus, environment } = this.options
    const isAnnounced = bus.entries('config').some(({ value }) => {
      const announcement = configAnnouncementSchema.safeParse(value)
      return announcement.success && announcement.data.environment === environment && announcement.data.version >= version
    })
    if (!isAnnounced) bus.publish('config', environment, { environment, version, digest }, ANNOUNCEMENT_TTL_MS)
  }

  /** Fetches the pending version, with retries, until it is in force. */
  private async runFetchLoop (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { pending } = this
      if (pending === undefined || pending.version <= this.held.version) {
        await this.fetchSleep.sleepMs(MS_PER_SECOND, signal)
      } else if (!await this.fetch(pending)) {
        await this.fetchSleep.sleepMs(FETCH_RETRY_DELAY_MS * (1 + this.options.random.next()), signal)
      }
    }
  }

  private async fetch ({ version, digest, discoveredAtMs }: PendingVersion): Promise<boolean> {
    const fetched = await fetchDocument({ ...this.options, metrics: this.metrics }, digest)
    if (fetched === undefined) return false
    if (!await this.held.adopt({ config: { version, digest, document: fetched.document }, packed: fetched.packed })) return true
    this.metrics.adoptSeconds.observe((this.options.clock.monotonicMs() - discoveredAtMs) / MS_PER_SECOND)
    this.confirmations.onVersionAdopted()
    this.publishStatus()
    this.pollSleep.wake()
    return true
  }
}
