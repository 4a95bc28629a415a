import type { Result } from 'neverthrow'
import type { JsonValue } from '../text/jsonValue.js'
import type { Locality } from './platform.js'

/** A daemon as a process: a restart on the same address has a new `startId`. */
export interface InstanceIdentity extends Locality {
  readonly instanceId: string
  readonly startId: string
}

/** What a daemon knows of another one. */
export interface Member extends InstanceIdentity {
  /** IP address for peers. */
  readonly host: string
  /** Port for peers. */
  readonly port: number
  /** `reachable` needs a confirmed link in both directions, at first or second hand. */
  readonly status: 'reachable' | 'suspect' | 'leaving' | 'gone'
  /** Version of the configuration in force there; 0 when it has none. */
  readonly configVersion: number
  /** Digest of that document, or its first digits. */
  readonly configDigest: string
  readonly isReady: boolean
  /** Age of the newest word from it, in milliseconds. */
  readonly ageMs: number
}

/** Order in which entries are dropped when the byte budget is short: the last class goes first. */
export type GossipTopic = 'config' | 'membership' | 'ejection' | 'leaving' | 'poison' | 'evidence' | 'load'

/** A value that one daemon spreads to the others; the newest sequence of each origin and key wins. */
export interface GossipEntry {
  readonly topic: GossipTopic
  readonly key: string
  readonly origin: InstanceIdentity
  /** Grows with each publication of the origin's process. */
  readonly sequence: number
  readonly value: JsonValue
  /** Time since publication, in milliseconds. */
  readonly ageMs: number
}

/** Failure of a call to a peer; `unreachable` covers timeouts, resets and refused connections. */
export interface PeerError {
  readonly kind: 'unreachable' | 'rejected' | 'over-budget'
  readonly message: string
}

/** Answers a call from a peer. */
export type PeerMethodHandler = (params: JsonValue, from: InstanceIdentity) => Promise<JsonValue>

/** Communication between daemons. */
export interface PeerBus {
  readonly self: InstanceIdentity
  /** Other daemons, in order of instance id. */
  readonly members: () => readonly Member[]
  /**
   * Spreads a value to every daemon that can be reached, within the byte budget.
   *
   * @param topic - Class of the value.
   * @param key - Key within the topic; a later value replaces an earlier one.
   * @param value - Value; small.
   * @param lifetimeMs - Time after which daemons forget it.
   */
  readonly publish: (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number) => void
  /** Entries of a topic that are alive here, this daemon's own included. */
  readonly entries: (topic: GossipTopic) => readonly GossipEntry[]
  /**
   * Watches a topic.
   *
   * @returns Ends the watch.
   */
  readonly onEntry: (topic: GossipTopic, listener: (entry: GossipEntry) => void) => () => void
  /** Calls one daemon. */
  readonly call: (instanceId: string, method: string, params: JsonValue, timeoutMs: number) => Promise<Result<JsonValue, PeerError>>
  /** Registers the handler of a method; one per name. */
  readonly handle: (method: string, handler: PeerMethodHandler) => void
}
