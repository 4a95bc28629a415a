import { backoffMs } from '@lovagehoist/common'
import type { Clock, GatewayStore, InstanceRecord, Log, Random } from '@lovagehoist/common'
import type { PeerTable } from '@lovagehoist/peers'

/** Store, known daemons and place of the daemon. */
export interface InstanceRegistrationOptions {
  readonly store: Pick<GatewayStore, 'readInstances' | 'putInstances'>
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly peers: Pick<PeerTable, 'addKnown' | 'heardInZone' | 'size'>
  /** Rank of this daemon among the relays of its zone; one that knows no other is the first. */
  readonly relayRank: () => number
  /** Whether other daemons may still answer this one, which has just started. */
  readonly isAwaitingPeers: () => boolean
}

/** Mean time between two looks at the instance list while every daemon of the zone is registered: rows that were lost are written again. */
const POLL_MS = 60_000
/** As above, while a daemon that reports to this one is not registered as far as this one knows. */
const MISSING_POLL_MS = 15_000
/** As above, while this daemon knows no other. */
const ALONE_POLL_MS = 1_000
/**
 * As above, after records were written: another group of daemons may have written its own at the same time, and two groups of which none has read the
 * other's records would never meet where the settings name no hosts.
 */
const LOOK_AGAIN_MS = 1_500
/** Backoff after a failed look, doubled from the minimum to the maximum. */
const MIN_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 15_000
/** Time after the start in which the daemons of a zone find each other, so that one look registers all. */
const SETTLE_MS = 2_000
/** Time between two checks whether this daemon is the first relay. */
const CHECK_MS = 250

/** Keeps the instance list in the store, by which daemons find each other: the first relay of a zone registers the daemons that report to it. */
export class InstanceRegistration {
  private nextLookAtMs = -Infinity
  private failures = 0
  private hasWritten = false
  private readonly startedAtMs: number
  /** Hosts of the registered daemons by instance, as of the last look. */
  private registeredHosts: ReadonlyMap<string, string> = new Map()

  private constructor (private readonly options: InstanceRegistrationOptions) {
    this.startedAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates a registration that has not looked at the list.
   *
   * @param options - Store, known daemons and place of the daemon.
   * @returns The registration.
   */
  static create (options: InstanceRegistrationOptions): InstanceRegistration {
    return new InstanceRegistration(options)
  }

  /**
   * Looks at the list now and then while this daemon is the first relay of its zone.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, relayRank, isAwaitingPeers } = this.options
    while (!signal.aborted) {
      if (!isAwaitingPeers() && relayRank() === 0 && this.isDue()) {
        this.failures = await this.synchronise() ? 0 : this.failures + 1
        this.nextLookAtMs = clock.monotonicMs() + this.pauseMs()
      }
      await clock.sleepMs(CHECK_MS, signal)
    }
  }

  private isDue (): boolean {
    const { clock, peers } = this.options
    const nowMs = clock.monotonicMs()
    const isSettled = peers.size === 1 || nowMs - this.startedAtMs >= SETTLE_MS
    return isSettled && nowMs >= (peers.size === 1 || this.hasWritten || this.missing().length > 0 ? this.nextLookAtMs : this.nextLookAtMs + POLL_MS - MISSING_POLL_MS)
  }

  /** Time after a look until the next one if a daemon is missing then, or others may be. */
  private pauseMs (): number {
    const { random, peers } = this.options
    if (this.failures > 0) return backoffMs(random, this.failures, MIN_BACKOFF_MS, MAX_BACKOFF_MS)
    if (this.hasWritten) return LOOK_AGAIN_MS * (0.5 + random.next())
    return (peers.size > 1 ? MISSING_POLL_MS : ALONE_POLL_MS) * (0.5 + random.next())
  }

  /** Daemons of the zone that were heard from recently but are not registered with their host as far as this daemon knows. */
  private missing (): readonly InstanceRecord[] {
    return this.options.peers.heardInZone().filter(({ instanceId, host }) => this.registeredHosts.get(instanceId) !== host)
  }

  /** Reads the list, and writes the records of daemons that are missing or have moved; returns whether that succeeded. */
  private async synchronise (): Promise<boolean> {
    const { store, peers, log } = this.options
    this.hasWritten = false
    const read = await store.readInstances()
    if (read.isErr()) {
      log.warn('reading the instance list failed', { kind: read.error.kind, detail: read.error.message })
      return false
    }
    peers.addKnown(read.value)
    this.registeredHosts = new Map(read.value.map(({ instanceId, host }) => [instanceId, host]))
    const missing = this.missing()
    if (missing.length === 0) return true
    const written = await store.putInstances(missing)
    this.hasWritten = written.isOk()
    if (written.isErr()) log.warn('registering instances failed', { instances: missing.length, kind: written.error.kind, detail: written.error.message })
    else this.registeredHosts = new Map([...this.registeredHosts, ...missing.map(({ instanceId, host }) => [instanceId, host] as const)])
    return written.isOk()
  }
}
