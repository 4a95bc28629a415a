import type { Clock, GatewaySettings, GatewayStore, InstanceRecord, Log, TargetListing } from '@lovagehoist/common'
import type { GatewayConfigFollower } from '@lovagehoist/operators'
import { fetchPeerDocument } from '@lovagehoist/peers'
import type { HeldVersions, PeerDocument, PeerDocumentTexts } from '@lovagehoist/peers'
import type { TargetRegistry } from '@lovagehoist/targets'

/** Settings, clock, log and the holders of the documents to synchronise. */
export interface PeerDocumentSyncOptions {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly log: Log
  readonly store: Pick<GatewayStore, 'decodeConfig'>
  readonly config: GatewayConfigFollower
  readonly targetRegistry: TargetRegistry
}

/** Time for which a daemon's configuration must be behind before it is fetched from a peer; usually the daemon's own watch of the store delivers it earlier. */
const FETCH_DELAY_MS = 300
/** Minimum time between two fetches of the same document. */
const MIN_FETCH_INTERVAL_MS = 300
/** Age reported for a listing that was never confirmed. */
const NEVER_CONFIRMED_AGE_MS = 1_000_000_000

/** A target listing as one daemon sends it to another. */
interface PeerListing {
  readonly listing: TargetListing
  readonly ageMs: number
}

/** Compares the versions of configuration and target listing with those of peers and fetches newer documents from them. */
export class PeerDocumentSync {
  private configBehindSinceMs: number | undefined
  private readonly lastFetchAtMs = new Map<PeerDocument, number>()

  private constructor (private readonly options: PeerDocumentSyncOptions) {}

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
  readonly heldVersions = (): HeldVersions => {
    const { config, targetRegistry } = this.options
    return {
      configVersion: config.version,
      listingDigest: targetRegistry.digest,
      listingVersion: targetRegistry.current?.storeVersion ?? -1,
      listingAgeMs: this.listingAgeMs()
    }
  }

  /** Serialised documents that this daemon holds, for peers that fetch them. */
  readonly documentTexts: PeerDocumentTexts = {
    configuration: () => this.options.config.currentText(),
    targets: () => {
      const listing = this.options.targetRegistry.current
      return listing === undefined ? undefined : JSON.stringify({ listing, ageMs: this.listingAgeMs() } satisfies PeerListing)
    }
  }

  /** Compares the versions that a peer holds with those held here, and fetches what is newer. */
  readonly handlePeerVersions = (peerVersions: HeldVersions, from: InstanceRecord): void => {
    const { targetRegistry, clock } = this.options
    if (peerVersions.listingDigest !== '' && peerVersions.listingDigest === targetRegistry.digest) targetRegistry.confirm(clock.monotonicMs() - peerVersions.listingAgeMs)
    else if (peerVersions.listingVersion > (targetRegistry.current?.storeVersion ?? -1)) this.fetch('targets', from)
    this.compareConfigVersions(peerVersions, from)
  }

  private compareConfigVersions (peerVersions: HeldVersions, from: InstanceRecord): void {
    const nowMs = this.options.clock.monotonicMs()
    if (peerVersions.configVersion <= this.options.config.version) {
      this.configBehindSinceMs = undefined
      return
    }
    this.configBehindSinceMs ??= nowMs
    if (nowMs - this.configBehindSinceMs >= FETCH_DELAY_MS) this.fetch('configuration', from)
  }

  private fetch (name: PeerDocument, from: InstanceRecord): void {
    const { clock, settings, log } = this.options
    const nowMs = clock.monotonicMs()
    if (nowMs - (this.lastFetchAtMs.get(name) ?? -Infinity) < MIN_FETCH_INTERVAL_MS) return
    this.lastFetchAtMs.set(name, nowMs)
    fetchPeerDocument(clock, { host: from.host, port: settings.peers.port }, name).then(result => {
      result.match(text => { this.applyDocument(name, text, nowMs) }, reason => { log.warn('fetching a document from a peer failed', { document: name, peer: from.instanceId, reason }) })
    }).catch((error: unknown) => { log.error('applying a document of a peer failed', { document: name, peer: from.instanceId, error: String(error) }) })
  }

  private readonly appliers: Readonly<Record<PeerDocument, (text: string, requestedAtMs: number) => void>> = {
    configuration: text => { this.options.config.applySnapshot(this.options.store.decodeConfig(text), 'peer') },
    targets: (text, requestedAtMs) => {
      const { listing, ageMs } = JSON.parse(text) as PeerListing
      this.options.targetRegistry.apply(listing, requestedAtMs - ageMs)
    }
  }

  private applyDocument (name: PeerDocument, text: string, requestedAtMs: number): void {
    this.appliers[name](text, requestedAtMs)
  }

  private listingAgeMs (): number {
    const ageMs = this.options.clock.monotonicMs() - this.options.targetRegistry.confirmedAtMs
    return Number.isFinite(ageMs) ? ageMs : NEVER_CONFIRMED_AGE_MS
  }
}
