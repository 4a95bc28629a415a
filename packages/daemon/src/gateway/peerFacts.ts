import type { Clock, GatewaySettings, GatewayStore, InstanceRecord, Log, TargetListing } from '@lovagehoist/common'
import type { GatewayConfigFollower } from '@lovagehoist/operators'
import { fetchPeerDocument } from '@lovagehoist/peers'
import type { HeldVersions, PeerDocument, PeerDocumentTexts } from '@lovagehoist/peers'
import type { TargetRegistry } from '@lovagehoist/targets'

/** What the exchange of facts needs. */
export interface PeerFactsOptions {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly log: Log
  readonly store: Pick<GatewayStore, 'decodeConfig'>
  readonly config: GatewayConfigFollower
  readonly roster: TargetRegistry
}

/** Time for which a daemon is behind another before it asks: its own watch of the store mostly comes first. */
const BEHIND_MS = 300
/** Least time between two fetches of a document. */
const FETCH_PAUSE_MS = 300
/** Age that stands for a listing that was never confirmed. */
const NEVER_MS = 1_000_000_000

/** A listing as one daemon gives it to another. */
interface PassedListing {
  readonly listing: TargetListing
  readonly ageMs: number
}

/** Compares what daemons hold and fetches what is newer elsewhere. */
export class PeerFacts {
  private behindSinceMs: number | undefined
  private readonly fetchedAtMs = new Map<PeerDocument, number>()

  private constructor (private readonly options: PeerFactsOptions) {}

  /**
   * Creates an exchange of facts.
   *
   * @param options - What this daemon holds.
   * @returns The exchange.
   */
  static create (options: PeerFactsOptions): PeerFacts {
    return new PeerFacts(options)
  }

  /** What this daemon holds. */
  readonly current = (): HeldVersions => {
    const { config, roster } = this.options
    return {
      configVersion: config.version,
      listingDigest: roster.digest,
      listingVersion: roster.current?.storeVersion ?? -1,
      listingAgeMs: this.listingAgeMs()
    }
  }

  /** Texts of the documents that this daemon holds. */
  readonly texts: PeerDocumentTexts = {
    configuration: () => this.options.config.currentText(),
    targets: () => {
      const listing = this.options.roster.current
      return listing === undefined ? undefined : JSON.stringify({ listing, ageMs: this.listingAgeMs() } satisfies PassedListing)
    }
  }

  /** Takes what another daemon holds. */
  readonly take = (facts: HeldVersions, from: InstanceRecord): void => {
    const { roster, clock } = this.options
    if (facts.listingDigest !== '' && facts.listingDigest === roster.digest) roster.confirm(clock.monotonicMs() - facts.listingAgeMs)
    else if (facts.listingVersion > (roster.current?.storeVersion ?? -1)) this.fetch('targets', from)
    this.compareConfig(facts, from)
  }

  private compareConfig (facts: HeldVersions, from: InstanceRecord): void {
    const nowMs = this.options.clock.monotonicMs()
    if (facts.configVersion <= this.options.config.version) {
      this.behindSinceMs = undefined
      return
    }
    this.behindSinceMs ??= nowMs
    if (nowMs - this.behindSinceMs >= BEHIND_MS) this.fetch('configuration', from)
  }

  private fetch (name: PeerDocument, from: InstanceRecord): void {
    const { clock, settings, log } = this.options
    const nowMs = clock.monotonicMs()
    if (nowMs - (this.fetchedAtMs.get(name) ?? -Infinity) < FETCH_PAUSE_MS) return
    this.fetchedAtMs.set(name, nowMs)
    fetchPeerDocument(clock, { host: from.host, port: settings.peers.port }, name).then(result => {
      result.match(text => { this.receive(name, text, nowMs) }, reason => { log.warn('a peer did not give a document', { document: name, peer: from.instanceId, reason }) })
    }).catch((error: unknown) => { log.error('a document of a peer was not taken', { document: name, peer: from.instanceId, error: String(error) }) })
  }

  private readonly receivers: Readonly<Record<PeerDocument, (text: string, askedAtMs: number) => void>> = {
    configuration: text => { this.options.config.take(this.options.store.decodeConfig(text), 'peer') },
    targets: (text, askedAtMs) => {
      const { listing, ageMs } = JSON.parse(text) as PassedListing
      this.options.roster.apply(listing, askedAtMs - ageMs)
    }
  }

  private receive (name: PeerDocument, text: string, askedAtMs: number): void {
    this.receivers[name](text, askedAtMs)
  }

  private listingAgeMs (): number {
    const ageMs = this.options.clock.monotonicMs() - this.options.roster.confirmedAtMs
    return Number.isFinite(ageMs) ? ageMs : NEVER_MS
  }
}
