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

/** Mean time between two looks at the instance list. */
const POLL_MS = 15_000
/** As above, while this daemon knows no other, or the last look failed. */
const INITIAL_POLL_MS = 1_000
/** Time between two checks whether this daemon is the first relay. */
const CHECK_MS = 250

/** Keeps the instance list in the store, by which daemons find each other: the first relay of a zone registers the daemons that report to it. */
export class InstanceRegistration {
  private nextLookAtMs = -Infinity

  private constructor (private readonly options: InstanceRegistrationOptions) {}

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
    const { clock, random, peers, relayRank, isAwaitingPeers } = this.options
    while (!signal.aborted) {
      if (!isAwaitingPeers() && relayRank() === 0 && clock.monotonicMs() >= this.nextLookAtMs) {
        const isDone = await this.synchronise()
        this.nextLookAtMs = clock.monotonicMs() + (isDone && peers.size > 1 ? POLL_MS : INITIAL_POLL_MS) * (0.5 + random.next())
      }
      await clock.sleepMs(CHECK_MS, signal)
    }
  }

  /** Reads the list, and writes the records of daemons that are missing or have moved; returns whether that succeeded. */
  private async synchronise (): Promise<boolean> {
    const { store, peers, log } = this.options
    const read = await store.readInstances()
    if (read.isErr()) {
      log.warn('reading the instance list failed', { kind: read.error.kind, detail: read.error.message })
      return false
    }
    peers.addKnown(read.value)
    const hosts = new Map(read.value.map(({ instanceId, host }) => [instanceId, host]))
    const missing: readonly InstanceRecord[] = peers.heardInZone().filter(({ instanceId, host }) => hosts.get(instanceId) !== host)
    if (missing.length === 0) return true
    const written = await store.putInstances(missing)
    if (written.isErr()) log.warn('registering instances failed', { instances: missing.length, kind: written.error.kind, detail: written.error.message })
    return written.isOk()
  }
}
