import type { Clock, InstanceRecord, Log } from '@lovagehoist/common'
import type { FetchPeerDocument, PeerDocument } from '@lovagehoist/peers'
import type { DocumentFetchMetrics } from './documentFetchMetrics.js'

/** Document, its version and how it is fetched and applied. */
export interface PeerDocumentFetchOptions {
  readonly document: PeerDocument
  readonly clock: Clock
  readonly log: Log
  readonly metrics: DocumentFetchMetrics
  /** Port at which daemons serve documents. */
  readonly port: number
  readonly fetchDocument: FetchPeerDocument
  /** Version held by this daemon. */
  readonly heldVersion: () => number
  readonly apply: (text: string, requestedAtMs: number) => void
}

/** A daemon that told which version it holds. */
interface Holder {
  readonly peer: InstanceRecord
  readonly version: number
  readonly heardAtMs: number
}

/** Minimum time between the starts of two fetches. */
const MIN_INTERVAL_MS = 300
/** Time for which a daemon that told its version is asked for it. */
const HOLDER_TTL_MS = 2_000

/** Fetches the newest version of a document that other daemons hold, one fetch at a time: several at once would share a slow link, and each would take longer. */
export class PeerDocumentFetch {
  private readonly holders = new Map<string, Holder>()
  private startedAtMs = -Infinity
  private isFetching = false
  private isScheduled = false

  private constructor (private readonly options: PeerDocumentFetchOptions) {}

  /**
   * Creates a fetch that knows no holders.
   *
   * @param options - Document, transport and holder of the document.
   * @returns The fetch.
   */
  static create (options: PeerDocumentFetchOptions): PeerDocumentFetch {
    return new PeerDocumentFetch(options)
  }

  /**
   * Fetches the document now, or after the fetch that is under way if that does not bring the version.
   *
   * @param peer - Daemon that holds a newer version than this one.
   * @param version - Version that it holds.
   */
  request (peer: InstanceRecord, version: number): void {
    this.holders.delete(peer.instanceId)
    this.holders.set(peer.instanceId, { peer, version, heardAtMs: this.options.clock.monotonicMs() })
    this.startNext()
  }

  private startNext (): void {
    const { clock } = this.options
    if (this.isFetching || this.isScheduled) return
    const nowMs = clock.monotonicMs()
    const holder = this.nextHolder(nowMs)
    if (holder === undefined) return
    const waitMs = this.startedAtMs + MIN_INTERVAL_MS - nowMs
    if (waitMs <= 0) {
      this.startFrom(holder)
      return
    }
    this.isScheduled = true
    clock.after(waitMs, () => {
      this.isScheduled = false
      this.startNext()
    })
  }

  /** The daemon that told last of those that hold the newest version. */
  private nextHolder (nowMs: number): Holder | undefined {
    for (const [instanceId, { version, heardAtMs }] of this.holders) {
      if (version <= this.options.heldVersion() || nowMs - heardAtMs > HOLDER_TTL_MS) this.holders.delete(instanceId)
    }
    return [...this.holders.values()].reduce<Holder | undefined>((best, holder) => best !== undefined && best.version > holder.version ? best : holder, undefined)
  }

  private startFrom ({ peer, version }: Holder): void {
    const { document, log } = this.options
    this.isFetching = true
    // A daemon that failed is asked again only after it has told its version again.
    this.holders.delete(peer.instanceId)
    this.fetchFrom(peer, version)
      .catch((error: unknown) => { log.error('applying a document of a peer failed', { document, peer: peer.instanceId, error: String(error) }) })
      .finally(() => {
        this.isFetching = false
        this.startNext()
      })
  }

  private async fetchFrom ({ host, instanceId }: InstanceRecord, announcedVersion: number): Promise<void> {
    const { document, clock, log, metrics, port, fetchDocument, heldVersion, apply } = this.options
    const startedAtMs = clock.monotonicMs()
    this.startedAtMs = startedAtMs
    const result = await fetchDocument(clock, { host, port }, document)
    const durationMs = clock.monotonicMs() - startedAtMs
    const fields = { document, peer: instanceId, durationMs: Math.round(durationMs), heldVersion: heldVersion(), announcedVersion }
    metrics.observeFetch({ document, result: result.isOk() ? 'fetched' : 'failed', durationMs, length: result.unwrapOr('').length })
    if (result.isErr()) {
      log.warn('fetching a document from a peer failed', { ...fields, reason: result.error })
      return
    }
    if (document === 'configuration') log.info('configuration fetched from a peer', { ...fields, length: result.value.length })
    apply(result.value, startedAtMs)
  }
}
