import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../time/clock.js'
import { LiveEntries } from '../entries/liveEntries.js'
import type { JsonValue } from '../text/jsonValue.js'
import { EMPTY_STATUS, LocalStatus } from '../contracts/localStatus.js'
import type { InstanceStatus } from '../contracts/localStatus.js'
import type { InstanceIdentity, Member, PeerBus, PeerError, PeerMethodHandler, GossipEntry, GossipTopic } from '../contracts/peers.js'

/** Digits of the configuration digest that heartbeats include. */
const HEARTBEAT_DIGEST_DIGITS = 16

const truncateDigest = (status: InstanceStatus): InstanceStatus => ({ ...status, configDigest: status.configDigest.slice(0, HEARTBEAT_DIGEST_DIGITS) })

/** In-memory network between the peer buses of a test; each link can be cut in one direction. */
export class FakePeerNetwork {
  private readonly buses = new Map<string, FakePeerBus>()
  private readonly cutLinks = new Set<string>()

  private constructor (readonly clock: Clock) {}

  /**
   * Creates a network without buses.
   *
   * @param clock - Source of time.
   * @returns The network.
   */
  static create (clock: Clock): FakePeerNetwork {
    return new FakePeerNetwork(clock)
  }

  /**
   * Adds a daemon; a daemon with the same instance id is replaced.
   *
   * @param self - Identity of the daemon process.
   * @param status - Status that its heartbeats publish.
   * @returns The daemon's bus.
   */
  join (self: InstanceIdentity, status: LocalStatus = LocalStatus.create()): FakePeerBus {
    const bus = new FakePeerBus(self, this, status)
    this.buses.set(self.instanceId, bus)
    return bus
  }

  /** Removes a daemon. */
  leave (instanceId: string): void {
    this.buses.delete(instanceId)
  }

  /** Cuts or restores the link from one daemon to another, in this direction only. */
  setLink (fromId: string, toId: string, isCut: boolean): void {
    if (isCut) this.cutLinks.add(`${fromId}>${toId}`)
    else this.cutLinks.delete(`${fromId}>${toId}`)
  }

  /** Whether messages from one daemon reach another. */
  isLinkUp (fromId: string, toId: string): boolean {
    return this.buses.has(toId) && !this.cutLinks.has(`${fromId}>${toId}`)
  }

  /** Buses of all daemons in the network. */
  all (): readonly FakePeerBus[] {
    return [...this.buses.values()]
  }

  /** Bus of a daemon, if it is in the network. */
  find (instanceId: string): FakePeerBus | undefined {
    return this.buses.get(instanceId)
  }
}

/** Bus of one daemon in the fake network; values published over a cut link are lost. */
export class FakePeerBus implements PeerBus {
  private readonly liveEntries: LiveEntries
  private readonly methods = new Map<string, PeerMethodHandler>()
  private readonly receivedStatuses = new Map<string, InstanceStatus>()
  private nextSequence = 1

  constructor (readonly self: InstanceIdentity, private readonly network: FakePeerNetwork, readonly status: LocalStatus) {
    this.liveEntries = LiveEntries.create(network.clock)
  }

  readonly members = (): readonly Member[] => this.network.all()
    .filter(bus => bus.self.instanceId !== this.self.instanceId)
    .map(bus => ({
      ...bus.self,
      host: '127.0.0.1',
      port: 1,
      status: this.isLinkedBothWays(bus) ? 'reachable' as const : 'suspect' as const,
      ...this.latestStatusOf(bus),
      ageMs: 0
    }))

  readonly publish = (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number): void => {
    const entry: GossipEntry = { topic, key, origin: this.self, sequence: this.nextSequence++, value, ageMs: 0 }
    for (const bus of this.network.all()) {
      if (bus === this || this.network.isLinkUp(this.self.instanceId, bus.self.instanceId)) bus.receive(entry, lifetimeMs)
    }
  }

  readonly entries = (topic: GossipTopic): readonly GossipEntry[] => this.liveEntries.entries(topic)

  readonly onEntry = (topic: GossipTopic, listener: (entry: GossipEntry) => void): (() => void) => this.liveEntries.onEntry(topic, listener)

  readonly call = async (instanceId: string, method: string, params: JsonValue): Promise<Result<JsonValue, PeerError>> => {
    const handler = this.network.find(instanceId)?.methods.get(method)
    const isLinked = this.network.isLinkUp(this.self.instanceId, instanceId) && this.network.isLinkUp(instanceId, this.self.instanceId)
    if (!isLinked) return err({ kind: 'unreachable', message: `no link to ${instanceId}` })
    return handler === undefined ? err({ kind: 'rejected', message: `no method ${method}` }) : ok(await handler(params, this.self))
  }

  readonly handle = (method: string, handler: PeerMethodHandler): void => { this.methods.set(method, handler) }

  /** Receives a gossiped value. */
  receive (entry: GossipEntry, lifetimeMs: number): void {
    this.liveEntries.put(entry, lifetimeMs)
  }

  /** Latest status received from another daemon; nothing is received while the link from it is cut. */
  private latestStatusOf (other: FakePeerBus): InstanceStatus {
    if (this.network.isLinkUp(other.self.instanceId, this.self.instanceId)) this.receivedStatuses.set(other.self.startId, truncateDigest(other.status.current()))
    return this.receivedStatuses.get(other.self.startId) ?? EMPTY_STATUS
  }

  private isLinkedBothWays (other: FakePeerBus): boolean {
    const [ownId, otherId] = [this.self.instanceId, other.self.instanceId]
    return this.network.isLinkUp(ownId, otherId) && this.network.isLinkUp(otherId, ownId)
  }
}
