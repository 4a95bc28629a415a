import type { Clock, InstanceRecord, Log, Random } from '@lovagehoist/common'
import type { FetchPeerDocument, PeerDocument } from '@lovagehoist/peers'
import type { DocumentFetchMetrics } from './documentFetchMetrics.js'

/** Document, its version and how it is fetched and applied. */
export interface PeerDocumentFetchOptions {
  readonly document: PeerDocument
  readonly clock: Clock
  readonly random: Random
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

/** The oldest version not held here that another daemon told, and the monotonic time from which it should have arrived. */
interface AwaitedVersion {
  readonly version: number
  readonly toldAtMs: number
  readonly overdueAtMs: number
}

/** Time after which a version that others hold should have arrived from them, and its spread over daemons. */
const OVERDUE_AFTER_MS = 700
const OVERDUE_SPREAD_MS = 300
/** Minimum time between the starts of two fetches. */
const MIN_INTERVAL_MS = 300
/** Time for which a daemon that told its version is asked for it. */
const HOLDER_TTL_MS = 2_000

/** Fetches the newest version of a document that other daemons hold, one fetch at a time: several at once would share a slow link, and each would take longer. */
export class PeerDocumentFetch {
  private readonly holders = new Map<string, Holder>()
  private awaited: AwaitedVersion | undefined
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
    const { clock, random, heldVersion } = this.options
    const nowMs = clock.monotonicMs()
    if (this.awaited === undefined || heldVersion() >= this.awaited.version) this.awaited = { version, toldAtMs: nowMs, overdueAtMs: nowMs + OVERDUE_AFTER_MS + random.next() * OVERDUE_SPREAD_MS }
    this.holders.delete(peer.instanceId)
    this.holders.set(peer.instanceId, { peer, version, heardAtMs: nowMs })
    this.startNext()
  }

  /**
   * Tells whether a version that others hold has not arrived in time, so that this daemon has to read the store; one read since then is enough.
   *
   * @param readAtMs - Monotonic time of the last own read of the store.
   */
  isOverdue (readAtMs: number): boolean {
    const { awaited } = this
    return awaited !== undefined && this.options.heldVersion() < awaited.version && this.options.clock.monotonicMs() >= awaited.overdueAtMs && readAtMs < awaited.toldAtMs
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
