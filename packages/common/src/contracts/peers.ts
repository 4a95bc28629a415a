import type { Result } from 'neverthrow'
import type { JsonValue } from '../text/jsonValue.js'
import type { Locality } from './platform.js'

/** Identity of a daemon process; a restart of the same instance gets a new `startId`. */
export interface InstanceIdentity extends Locality {
  readonly instanceId: string
  readonly startId: string
}

/** A peer as this daemon's membership view sees it. */
export interface Member extends InstanceIdentity {
  /** IP address for peers. */
  readonly host: string
  /** Port for peers. */
  readonly port: number
  /** `reachable` requires a link confirmed in both directions, by this daemon itself or through another peer. */
  readonly status: 'reachable' | 'suspect' | 'leaving' | 'gone'
  /** Version of the peer's active configuration; 0 when it has none. */
  readonly configVersion: number
  /** Digest of that configuration document, possibly truncated to its first digits. */
  readonly configDigest: string
  readonly isReady: boolean
  /** Age of the newest information about the peer, in milliseconds. */
  readonly ageMs: number
}

/** Topics of gossip entries, in order of importance: when the byte budget is exceeded, entries of the last topic are dropped first. */
export type GossipTopic = 'config' | 'membership' | 'ejection' | 'leaving' | 'poison' | 'evidence' | 'load'

/** A value that one daemon gossips to the others; the highest sequence number of each origin and key wins. */
export interface GossipEntry {
  readonly topic: GossipTopic
  readonly key: string
  readonly origin: InstanceIdentity
  /** Increases with each publication by the origin process. */
  readonly sequence: number
  readonly value: JsonValue
  /** Time since it was published, in milliseconds. */
  readonly ageMs: number
}

/** Error of a call to a peer; `unreachable` covers timeouts, resets and refused connections. */
export interface PeerError {
  readonly kind: 'unreachable' | 'rejected' | 'over-budget'
  readonly message: string
}

/** Handles a call from a peer and returns its result. */
export type PeerMethodHandler = (params: JsonValue, from: InstanceIdentity) => Promise<JsonValue>

/** Membership, gossip and calls between the daemons of the fleet. */
export interface PeerBus {
  readonly self: InstanceIdentity
  /** The other daemons, ordered by instance id. */
  readonly members: () => readonly Member[]
  /**
   * Gossips a value to every reachable daemon, within the byte budget.
   *
   * @param topic - Topic of the value.
   * @param key - Key within the topic; a later value replaces an earlier one.
   * @param value - Value; must be small.
   * @param lifetimeMs - Time to live; daemons discard the value afterwards.
   */
  readonly publish: (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number) => void
  /** Unexpired entries of a topic that this daemon knows, including its own. */
  readonly entries: (topic: GossipTopic) => readonly GossipEntry[]
  /**
   * Subscribes to a topic.
   *
   * @returns A function that unsubscribes.
   */
  readonly onEntry: (topic: GossipTopic, listener: (entry: GossipEntry) => void) => () => void
  /** Calls a method of one daemon. */
  readonly call: (instanceId: string, method: string, params: JsonValue, timeoutMs: number) => Promise<Result<JsonValue, PeerError>>
  /** Registers the handler of a method; each method has one handler. */
  readonly handle: (method: string, handler: PeerMethodHandler) => void
}
