import type { Clock, GatewaySettings, GatewayStore, InstanceRecord, Log, Random } from '@lovagehoist/common'
import type { GatewayConfigFollower } from '@lovagehoist/operators'
import { UNKNOWN_AGE_MS } from '@lovagehoist/peers'
import type { FetchPeerDocument, HeldVersions, PeerDocument, PeerDocumentTexts, ReadAges, RelayMessage } from '@lovagehoist/peers'
import type { TargetRegistry } from '@lovagehoist/targets'
import type { DocumentFetchMetrics } from './documentFetchMetrics.js'
import { PeerDocumentFetch } from './peerDocumentFetch.js'
import { decodePeerListing } from './peerListing.js'
import type { PeerListing } from './peerListing.js'

/** Settings, clock, log and the holders of the documents to synchronise. */
export interface PeerDocumentSyncOptions {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly fetchDocument: FetchPeerDocument
  readonly metrics: DocumentFetchMetrics
  readonly store: Pick<GatewayStore, 'decodeConfig'>
  readonly config: GatewayConfigFollower
  readonly targetRegistry: TargetRegistry
  /** Monotonic time of the last read of the listing by this daemon. */
  readonly listingReadAtMs: () => number
  /** Rank of this daemon among the relays of its zone: 0 is the first relay, -1 means it is not a relay. */
  readonly relayRank: () => number
}

/** Time for which the configuration must be behind before a daemon that watches it fetches it from another zone; usually its watch delivers it earlier. */
const OTHER_ZONE_FETCH_DELAY_MS = 300
/** Age of the own listing, or configuration, from which it is fetched from another zone; traffic between zones is expensive, and the relays here usually read the store. */
const OTHER_ZONE_FETCH_AGE_MS = 1_000

/** Age by which a reported read has to lower that of the listing to be passed on at once. */
const URGENT_READ_GAIN_MS = 300

/** Monotonic times at which the store was read. */
interface ReadTimes {
  readonly listing: number
  readonly configuration: number
}

/** Compares the versions of configuration and target listing with those of peers and fetches newer documents from them. */
export class PeerDocumentSync {
  private configBehindSinceMs: number | undefined
  /** Latest reads that daemons of this zone reported of what is held here. */
  private readonly reportedAtMs = { listing: -Infinity, configuration: -Infinity }
  private readonly fetches: Readonly<Record<PeerDocument, PeerDocumentFetch>>

  private constructor (private readonly options: PeerDocumentSyncOptions) {
    this.fetches = {
      configuration: this.createFetch('configuration', () => options.config.version),
      targets: this.createFetch('targets', () => options.targetRegistry.current?.storeVersion ?? -1)
    }
  }

  /**
   * Creates a synchronisation with peers.
   *
   * @param options - Holders of the documents, clock and log.
   * @returns The synchronisation.
   */
  static create (options: PeerDocumentSyncOptions): PeerDocumentSync {
    return new PeerDocumentSync(options)
  }

  /** Returns the versions of the documents that this daemon holds. */
  readonly heldVersions = (ages: 'own' | 'zone' | 'known'): HeldVersions => {
    const { config, targetRegistry } = this.options
    const { listing, configuration } = this.readsAtMs[ages]()
    return {
      configVersion: config.version,
      listingDigest: targetRegistry.digest,
      listingVersion: targetRegistry.current?.storeVersion ?? -1,
      listingAgeMs: this.ageOf(listing),
      configAgeMs: this.ageOf(configuration)
    }
  }

  /** Monotonic times of the latest reads: by this daemon, by any of its zone, or by any daemon that it has heard of. */
  private readonly readsAtMs: Readonly<Record<'own' | 'zone' | 'known', () => ReadTimes>> = {
    own: () => ({ listing: this.options.listingReadAtMs(), configuration: this.options.config.ownConfirmedAtMs }),
    zone: () => {
      const { listing, configuration } = this.readsAtMs.own()
      return { listing: Math.max(listing, this.reportedAtMs.listing), configuration: Math.max(configuration, this.reportedAtMs.configuration) }
    },
    known: () => ({ listing: this.options.targetRegistry.confirmedAtMs, configuration: this.options.config.confirmedAtMs })
  }

  /** Serialised documents that this daemon holds, for peers that fetch them. */
  readonly documentTexts: PeerDocumentTexts = {
    configuration: () => this.options.config.currentText(),
    targets: () => {
      const listing = this.options.targetRegistry.current
      return listing === undefined ? undefined : JSON.stringify({ listing, ageMs: this.ageOf(this.options.targetRegistry.confirmedAtMs) } satisfies PeerListing)
    }
  }

  /** Whether other daemons hold a newer version of a document that did not arrive from them in time. */
  isOverdue (document: PeerDocument): boolean {
    const { config, listingReadAtMs } = this.options
    return this.fetches[document].isOverdue(document === 'configuration' ? config.ownConfirmedAtMs : listingReadAtMs())
  }

  /** Compares the versions that a peer holds with those held here, and fetches what is newer. */
  readonly handlePeerVersions = (peerVersions: HeldVersions, from: InstanceRecord, message: RelayMessage['type']): void => {
    const { targetRegistry, clock } = this.options
    const mayFetchListing = this.mayFetchFrom(from, targetRegistry.confirmedAtMs)
    if (peerVersions.listingDigest !== '' && peerVersions.listingDigest === targetRegistry.digest) {
      if (this.mayConfirm(message)) targetRegistry.confirm(clock.monotonicMs() - peerVersions.listingAgeMs)
    } else if (mayFetchListing && peerVersions.listingVersion > (targetRegistry.current?.storeVersion ?? -1)) this.fetches.targets.request(from, peerVersions.listingVersion)
    this.compareConfigVersions(peerVersions, from, message)
  }

  /** Traffic between zones is expensive: the first relay of a zone fetches for all. */
  private mayFetchFrom ({ availabilityZone }: InstanceRecord, confirmedAtMs: number): boolean {
    const { settings, relayRank } = this.options
    return availabilityZone === settings.availabilityZone || relayRank() === 0 || this.ageOf(confirmedAtMs) >= OTHER_ZONE_FETCH_AGE_MS
  }

  /**
   * Learns from what a daemon of this zone has read by itself, and tells it to other zones as if it were read here.
   *
   * @param reads - Ages of its own reads.
   * @param versions - Versions that it holds.
   * @param from - The daemon.
   * @returns Whether the listing was much older here, so that the others of the zone should hear of the read at once.
   */
  readonly handleReportedReads = (reads: ReadAges, versions: HeldVersions, from: InstanceRecord): boolean => {
    const { settings, clock, config, targetRegistry } = this.options
    if (from.availabilityZone !== settings.availabilityZone) return false
    const nowMs = clock.monotonicMs()
    const listingAtMs = nowMs - reads.listingAgeMs
    const configAtMs = nowMs - reads.configAgeMs
    const knownAtMs = targetRegistry.confirmedAtMs
    if (versions.configVersion === config.version && config.version > 0) {
      config.confirm(configAtMs, from.instanceId)
      this.reportedAtMs.configuration = Math.max(this.reportedAtMs.configuration, configAtMs)
    }
    if (versions.listingDigest === '' || versions.listingDigest !== targetRegistry.digest) return false
    targetRegistry.confirm(listingAtMs)
    this.reportedAtMs.listing = Math.max(this.reportedAtMs.listing, listingAtMs)
    return listingAtMs - knownAtMs >= URGENT_READ_GAIN_MS
  }

  /** Ages that relays tell pass from first relays to other zones and from relays to their zone, never back, since each hop makes them look younger by its delay. */
  private mayConfirm (message: RelayMessage['type']): boolean {
    if (message === 'zone') return true
    return message === 'view' && this.options.relayRank() !== 0
  }

  private compareConfigVersions (peerVersions: HeldVersions, from: InstanceRecord, message: RelayMessage['type']): void {
    const { config, clock } = this.options
    const nowMs = clock.monotonicMs()
    if (peerVersions.configVersion <= config.version) {
      this.configBehindSinceMs = undefined
      // A daemon that vouches for an older version knows less than this one.
      if (config.version > 0 && peerVersions.configVersion === config.version && this.mayConfirm(message)) config.confirm(nowMs - peerVersions.configAgeMs, from.instanceId)
      return
    }
    this.configBehindSinceMs ??= nowMs
    if (!this.mayFetchFrom(from, config.confirmedAtMs)) return
    const delayMs = config.isWatching && from.availabilityZone !== this.options.settings.availabilityZone ? OTHER_ZONE_FETCH_DELAY_MS : 0
    if (nowMs - this.configBehindSinceMs >= delayMs) this.fetches.configuration.request(from, peerVersions.configVersion)
  }

  private readonly appliers: Readonly<Record<PeerDocument, (text: string, requestedAtMs: number) => void>> = {
    configuration: text => { this.options.config.applySnapshot(this.options.store.decodeConfig(text), 'peer') },
    targets: (text, requestedAtMs) => {
      decodePeerListing(text).match(
        ({ listing, ageMs }) => { this.options.targetRegistry.apply(listing, requestedAtMs - ageMs) },
        reason => { this.options.log.warn('listing of a peer refused', { reason }) })
    }
  }

  private createFetch (document: PeerDocument, heldVersion: () => number): PeerDocumentFetch {
    const { settings, clock, random, log, fetchDocument, metrics } = this.options
    return PeerDocumentFetch.create({ document, clock, random, log, metrics, port: settings.peers.port, fetchDocument, heldVersion, apply: this.appliers[document] })
  }

  private ageOf (atMs: number): number {
    return Math.min(UNKNOWN_AGE_MS, this.options.clock.monotonicMs() - atMs)
  }
}
