import PQueue from 'p-queue'
import { configAnnouncementSchema, withTimeout } from '@lovagehoist/common'
import type { AcceptedConfig, Clock, ConfigSource, Invariants, JsonValue, LocalStatus, Log, PeerBus, Platform, Random } from '@lovagehoist/common'
import type { Registry } from 'prom-client'
import { readEnvironment } from '../environment/readRows.js'
import { Currency } from './currency.js'
import { fetchDocument } from './fetchDocument.js'
import { FleetMajority } from './fleetMajority.js'
import { createFollowerMetrics } from './followerMetrics.js'
import type { FollowerMetrics } from './followerMetrics.js'
import { HeldConfig } from './heldConfig.js'
import type { Preparation } from './heldConfig.js'
import { DOCUMENT_METHOD, createDocumentMethod } from './peerDocuments.js'
import { VERSION_METHOD, askVersion, choosePeers, createVersionMethod } from './peerVersions.js'
import { Wakeup } from './wakeup.js'

/** What the follower needs. */
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
  /** Whether this daemon has no peers to learn from: then it serves on with what it holds. */
  readonly isAlone: boolean
}

/** A version that was heard of and is not yet in force here. */
interface WantedVersion {
  readonly version: number
  readonly digest: string
  readonly heardAtMs: number
}

/** Time without proof of holding the newest version after which a daemon takes no traffic. */
export const FENCE_MS = 4_500
const ANNOUNCEMENT_LIFETIME_MS = 60_000
const TICK_MS = 500
/** Longest wait for the table. */
const READ_LIMIT_MS = 1_000
/** Time without proof after which peers are asked. */
const ASK_AFTER_MS = 2_000
/** Peers asked in each tick while this daemon has no other proof, and while it has. */
const PEERS_ASKED_URGENTLY = 4
const PEERS_ASKED = 2
/** Peers that are asked at the same time. */
const ASKED_AT_ONCE = 8
/** Part of a period by which polls are spread. */
const JITTER_SHARE = 0.5
const FETCH_PAUSE_MS = 250
const MS_PER_SECOND = 1_000

/** Follows the accepted configuration of an environment from the table and from peers; versions only grow. */
export class ConfigFollower implements ConfigSource {
  private readonly held: HeldConfig
  private readonly currency: Currency
  private readonly majority: FleetMajority
  private readonly asking = new PQueue({ concurrency: ASKED_AT_ONCE })
  private readonly metrics: FollowerMetrics
  private readonly wanting: Wakeup
  private readonly polling: Wakeup
  private wanted: WantedVersion | undefined
  private storeContactAtMs: number
  private hasStore = false

  private constructor (private readonly options: ConfigFollowerOptions) {
    const { clock, invariants, log, registry, bus } = options
    this.held = HeldConfig.create(invariants, log)
    this.currency = Currency.create(() => this.held.version)
    this.majority = FleetMajority.create(bus.self.instanceId)
    this.wanting = Wakeup.create(clock)
    this.polling = Wakeup.create(clock)
    this.storeContactAtMs = clock.monotonicMs()
    this.metrics = createFollowerMetrics(registry, {
      heldVersion: () => this.held.version,
      knownVersion: () => this.knownVersion,
      isCurrent: () => this.isServing(),
      storeContactAgeMs: () => clock.monotonicMs() - this.storeContactAtMs
    })
    bus.handle(DOCUMENT_METHOD, createDocumentMethod(this.held))
    bus.handle(VERSION_METHOD, createVersionMethod(options, { held: this.held, currency: this.currency, majority: this.majority }))
    bus.onEntry('config', entry => { this.hear(entry.value) })
  }

  /**
   * Creates a follower that holds nothing yet.
   *
   * @param options - Environment, platform, peers and time between reads.
   * @returns The follower.
   */
  static create (options: ConfigFollowerOptions): ConfigFollower {
    return new ConfigFollower(options)
  }

  readonly current = (): AcceptedConfig | undefined => this.held.current()

  readonly onChange = (listener: (config: AcceptedConfig) => void): (() => void) => this.held.onChange(listener)

  /** Adds work that is awaited before each configuration comes into force. */
  readonly onPrepare = (preparation: Preparation): void => { this.held.onPrepare(preparation) }

  /** Whether this daemon holds a configuration and proved recently that it is the newest. */
  readonly isServing = (): boolean => this.held.version > 0 && (this.options.isAlone || this.currencyAgeMs < FENCE_MS)

  /** Configuration as requests are served by it: undefined as well while this daemon must not serve. */
  readonly serving: ConfigSource = {
    current: () => this.isServing() ? this.held.current() : undefined,
    onChange: this.onChange,
    onPrepare: this.onPrepare
  }

  /** Whether this daemon has no peers, and so never stops serving by itself. */
  get isAlone (): boolean {
    return this.options.isAlone
  }

  /** Newest accepted version that this daemon has heard of. */
  get knownVersion (): number {
    return Math.max(this.held.version, this.wanted?.version ?? 0)
  }

  /** Time since the version held was certainly the newest, in milliseconds. */
  get currencyAgeMs (): number {
    return this.currency.ageMs(this.options.clock.monotonicMs())
  }

  /**
   * Follows the accepted configuration until stopped.
   *
   * @param signal - Ends the loops.
   */
  async run (signal: AbortSignal): Promise<void> {
    for (const entry of this.options.bus.entries('config')) this.hear(entry.value)
    await Promise.all([this.pollTable(signal), this.pursue(signal), this.watchPeers(signal)])
  }

  /** Bounded state for the dump. */
  dump (): JsonValue {
    const ageMs = this.currencyAgeMs
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

  /** Reads the environment's row once. */
  async refresh (): Promise<void> {
    const { platform, environment, clock } = this.options
    const startedAtMs = clock.monotonicMs()
    const timed = await withTimeout(clock, READ_LIMIT_MS, readEnvironment(platform, environment))
    this.hasStore = timed.type === 'done' && timed.value.isOk()
    if (timed.type === 'timeout' || timed.value.isErr()) return
    const read = timed.value
    this.storeContactAtMs = startedAtMs
    const row = read.value.value
    if (row === undefined) return
    this.currency.see({ version: row.version, atMs: startedAtMs })
    this.want(row.version, row.digest)
    this.announce(row.version, row.digest)
  }

  private async pollTable (signal: AbortSignal): Promise<void> {
    const { pollMs, random } = this.options
    while (!signal.aborted) {
      await this.refresh()
      await this.polling.sleepMs(pollMs * (1 - JITTER_SHARE / 2 + random.next() * JITTER_SHARE), signal)
    }
  }

  private async watchPeers (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.askPeers()
      this.readMajority()
      this.report()
      await this.options.clock.sleepMs(TICK_MS, signal)
    }
    this.asking.clear()
  }

  /** Asks whoever told of a newer version in a heartbeat and, without proof from the table, several others. */
  private askPeers (): void {
    const ahead = this.options.bus.members().filter(member => member.configVersion > this.knownVersion).slice(0, 1)
    const chosen = choosePeers(this.options, this.peersToAsk())
    for (const instanceId of new Set([...ahead.map(member => member.instanceId), ...chosen])) {
      if (this.asking.size < ASKED_AT_ONCE) this.asking.add(async () => { await this.askPeer(instanceId) }).catch(() => {})
    }
  }

  private peersToAsk (): number {
    const ageMs = this.currencyAgeMs
    if (this.hasStore && this.held.version > 0 && ageMs < ASK_AFTER_MS) return 0
    return ageMs < ASK_AFTER_MS ? PEERS_ASKED : PEERS_ASKED_URGENTLY
  }

  private async askPeer (instanceId: string): Promise<void> {
    const answer = await askVersion(this.options, instanceId)
    if (answer === undefined) return
    const { version, digest, currentAtMs, holders, askedAtMs } = answer
    if (currentAtMs !== undefined) this.currency.see({ version, atMs: currentAtMs })
    if (version <= this.held.version) this.majority.merge(holders, askedAtMs)
    this.want(version, digest)
    this.readMajority()
  }

  /** Takes in whether most of the known instances hold nothing newer. */
  private readMajority (): void {
    const { bus, clock } = this.options
    const nowMs = clock.monotonicMs()
    this.majority.sweep(nowMs)
    const sighting = this.majority.see(bus.members(), this.held.version, nowMs)
    if (sighting !== undefined) this.currency.see(sighting)
  }

  private report (): void {
    this.options.status.set({ configVersion: this.held.version, configDigest: this.held.digest, isReady: this.isServing() })
  }

  private hear (value: JsonValue): void {
    const heard = configAnnouncementSchema.safeParse(value)
    if (heard.success && heard.data.environment === this.options.environment) this.want(heard.data.version, heard.data.digest)
  }

  private want (version: number, digest: string): void {
    if (version <= this.knownVersion) return
    this.wanted = { version, digest, heardAtMs: this.options.clock.monotonicMs() }
    this.wanting.wake()
  }

  /** Tells peers of a version, unless one of them already told it. */
  private announce (version: number, digest: string): void {
    const { bus, environment } = this.options
    const isTold = bus.entries('config').some(({ value }) => {
      const told = configAnnouncementSchema.safeParse(value)
      return told.success && told.data.environment === environment && told.data.version >= version
    })
    if (!isTold) bus.publish('config', environment, { environment, version, digest }, ANNOUNCEMENT_LIFETIME_MS)
  }

  /** Fetches what is wanted until it is in force. */
  private async pursue (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { wanted } = this
      if (wanted === undefined || wanted.version <= this.held.version) {
        await this.wanting.sleepMs(MS_PER_SECOND, signal)
      } else if (!await this.fetch(wanted)) {
        await this.wanting.sleepMs(FETCH_PAUSE_MS * (1 + this.options.random.next()), signal)
      }
    }
  }

  private async fetch ({ version, digest, heardAtMs }: WantedVersion): Promise<boolean> {
    const fetched = await fetchDocument({ ...this.options, metrics: this.metrics }, digest)
    if (fetched === undefined) return false
    if (!await this.held.adopt({ config: { version, digest, document: fetched.document }, packed: fetched.packed })) return true
    this.metrics.adoptSeconds.observe((this.options.clock.monotonicMs() - heardAtMs) / MS_PER_SECOND)
    this.currency.adopted()
    this.report()
    this.polling.wake()
    return true
  }
}
