import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../time/clock.js'
import { LiveEntries } from '../entries/liveEntries.js'
import type { JsonValue } from '../text/jsonValue.js'
import { EMPTY_STATUS, LocalStatus } from '../contracts/localStatus.js'
import type { InstanceStatus } from '../contracts/localStatus.js'
import type { InstanceIdentity, Member, PeerBus, PeerError, PeerMethodHandler, GossipEntry, GossipTopic } from '../contracts/peers.js'

/** Digits of a digest that heartbeats carry. */
const DIGEST_DIGITS = 16

const shorten = (status: InstanceStatus): InstanceStatus => ({ ...status, configDigest: status.configDigest.slice(0, DIGEST_DIGITS) })

/** Delivers published values and calls between the buses of a test; links can be cut in one direction. */
export class FakePeerNetwork {
  private readonly buses = new Map<string, FakePeerBus>()
  private readonly cut = new Set<string>()

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
   * Joins a daemon; a second join with the same instance id replaces the first.
   *
   * @param self - The daemon's process.
   * @param status - What its heartbeats tell the others.
   * @returns Its bus.
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

  /** Cuts or mends the direction from one daemon to another. */
  setLink (fromId: string, toId: string, isCut: boolean): void {
    if (isCut) this.cut.add(`${fromId}>${toId}`)
    else this.cut.delete(`${fromId}>${toId}`)
  }

  /** Whether messages get from one daemon to another. */
  carries (fromId: string, toId: string): boolean {
    return this.buses.has(toId) && !this.cut.has(`${fromId}>${toId}`)
  }

  /** Buses that have joined. */
  all (): readonly FakePeerBus[] {
    return [...this.buses.values()]
  }

  /** Bus of a daemon. */
  find (instanceId: string): FakePeerBus | undefined {
    return this.buses.get(instanceId)
  }
}

/** Bus of one daemon in a fake network; a cut link loses what is published meanwhile. */
export class FakePeerBus implements PeerBus {
  private readonly held: LiveEntries
  private readonly methods = new Map<string, PeerMethodHandler>()
  private readonly heard = new Map<string, InstanceStatus>()
  private nextSequence = 1

  constructor (readonly self: InstanceIdentity, private readonly network: FakePeerNetwork, readonly status: LocalStatus) {
    this.held = LiveEntries.create(network.clock)
  }

  readonly members = (): readonly Member[] => this.network.all()
    .filter(bus => bus.self.instanceId !== this.self.instanceId)
    .map(bus => ({
      ...bus.self,
      host: '127.0.0.1',
      port: 1,
      status: this.hears(bus) ? 'reachable' as const : 'suspect' as const,
      ...this.heardFrom(bus),
      ageMs: 0
    }))

  readonly publish = (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number): void => {
    const entry: GossipEntry = { topic, key, origin: this.self, sequence: this.nextSequence++, value, ageMs: 0 }
    for (const bus of this.network.all()) {
      if (bus === this || this.network.carries(this.self.instanceId, bus.self.instanceId)) bus.receive(entry, lifetimeMs)
    }
  }

  readonly entries = (topic: GossipTopic): readonly GossipEntry[] => this.held.entries(topic)

  readonly onEntry = (topic: GossipTopic, listener: (entry: GossipEntry) => void): (() => void) => this.held.onEntry(topic, listener)

  readonly call = async (instanceId: string, method: string, params: JsonValue): Promise<Result<JsonValue, PeerError>> => {
    const handler = this.network.find(instanceId)?.methods.get(method)
    const carries = this.network.carries(this.self.instanceId, instanceId) && this.network.carries(instanceId, this.self.instanceId)
    if (!carries) return err({ kind: 'unreachable', message: `no link to ${instanceId}` })
    return handler === undefined ? err({ kind: 'rejected', message: `no method ${method}` }) : ok(await handler(params, this.self))
  }

  readonly handle = (method: string, handler: PeerMethodHandler): void => { this.methods.set(method, handler) }

  /** Takes a value in. */
  receive (entry: GossipEntry, lifetimeMs: number): void {
    this.held.put(entry, lifetimeMs)
  }

  /** The latest status that got here; what an instance says while its link to this one is cut stays unknown. */
  private heardFrom (other: FakePeerBus): InstanceStatus {
    if (this.network.carries(other.self.instanceId, this.self.instanceId)) this.heard.set(other.self.startId, shorten(other.status.current()))
    return this.heard.get(other.self.startId) ?? EMPTY_STATUS
  }

  private hears (other: FakePeerBus): boolean {
    const [here, there] = [this.self.instanceId, other.self.instanceId]
    return this.network.carries(here, there) && this.network.carries(there, here)
  }
}
