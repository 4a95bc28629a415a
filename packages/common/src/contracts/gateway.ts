import type { PlatformResult } from './platform.js'
import type { Target } from './targets.js'

/** An IP address with a port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** A service that gets a share of a route's requests. */
export interface WeightedService {
  readonly service: string
  /** Part of the sum of all weights of the route. */
  readonly weight: number
}

/** A route of the gateway's configuration. */
export interface GatewayRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly isIdempotent: boolean
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number
  /** Latency objective. */
  readonly objectiveMs: number
  /** Rank of the requests; 0 goes first. */
  readonly priority: number
  /** At least one. */
  readonly weightedServices: readonly WeightedService[]
  /** Most targets that one request may be sent to. */
  readonly maxAttempts: number
}

/** A service of the gateway's configuration. */
export interface GatewayService {
  readonly name: string
  /** Connections that one target accepts from the whole fleet. */
  readonly maxConnections: number
}

/** What a caller may send. */
export interface CallerLimits {
  readonly maxHeadBytes: number
  readonly maxBodyBytes: number
  readonly headTimeoutMs: number
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number
}

/** Configuration of the gateway, as the operator wrote it. */
export interface GatewayConfig {
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: readonly GatewayService[]
  readonly limits: CallerLimits
}

/** A target with what its own heartbeats say. */
export interface ListedTarget extends Target {
  /** How much longer the target is slow after its start. */
  readonly coldForMs: number
}

/** A row that could not be used. */
export interface SkippedRow {
  readonly key: string
  readonly reason: string
}

/** All targets as of one moment. */
export interface TargetListing {
  /** Version of the store at that moment; later listings have a higher one. */
  readonly storeVersion: number
  readonly targets: readonly ListedTarget[]
  readonly skipped: readonly SkippedRow[]
}

/** The configuration as of one moment. */
export interface ConfigSnapshot {
  /** Version of the store at that moment; the watch goes on from here. */
  readonly storeVersion: number
  /** Undefined while the operator has written none, or none that can be read. */
  readonly config: GatewayConfig | undefined
  /** The stored text, for instances that can't reach the store. */
  readonly text: string | undefined
  /** Why the text could not be used. */
  readonly error: string | undefined
}

/** How a watch of the configuration ended. */
export type ConfigWatchResult =
  | { readonly type: 'reading', readonly reading: ConfigSnapshot }
  | { readonly type: 'unchanged', readonly storeVersion: number }
  | { readonly type: 'history-lost' }

/** An instance of the fleet as it registers itself. */
export interface InstanceRecord {
  readonly instanceId: string
  readonly startId: string
  readonly host: string
  readonly availabilityZone: string
  /** Share of a relay's work that its machine can carry, from 0 to 1. */
  readonly relayFitness: number
}

/** What the gateway reads from and writes to the platform's store. */
export interface GatewayStore {
  readonly readTargets: () => PlatformResult<TargetListing>
  readonly readConfig: () => PlatformResult<ConfigSnapshot>
  /** Waits until the configuration changes, no longer than a limit; the signal gives the watch up. */
  readonly watchConfig: (afterStoreVersion: number, waitMs: number, signal: AbortSignal) => PlatformResult<ConfigWatchResult>
  readonly readInstances: () => PlatformResult<readonly InstanceRecord[]>
  /** Registers an instance under its id. */
  readonly putInstance: (instance: InstanceRecord) => PlatformResult<void>
  /** Decodes a configuration that another instance passed on. */
  readonly decodeConfig: (text: string) => ConfigSnapshot
  readonly close: () => Promise<void>
}

/** Names of the header fields that the platform settles. */
export interface GatewayHeaders {
  readonly requestId: string
  /** Milliseconds that the caller will wait. */
  readonly deadline: string
  /** Names the target that alone may run the request. */
  readonly expectedTarget: string
  /** On an answer: the target did not run the request. */
  readonly notRun: string
  /** On an answer: proof that a target made it. */
  readonly signature: string
}

/** Promises about time and capacity that the deployment states. */
export interface DeploymentLimits {
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number
  /** Repeats as a share of the requests for a service. */
  readonly retryShare: number
  /** Repeats that the whole fleet may make beyond the share in each window. */
  readonly retrySlack: number
  readonly retryWindowMs: number
}

/** Settings of a gateway daemon. */
export interface GatewaySettings {
  readonly instanceId: string
  readonly availabilityZone: string
  /** Whether the whole fleet starts for the first time, so that no process had a predecessor. */
  readonly isFirstStart: boolean
  /** Address for callers. */
  readonly callers: Address
  /** Address that the balancer asks for readiness. */
  readonly readiness: Address
  /** Address for other daemons. */
  readonly peers: Address
  /** Hosts of a few daemons that may answer while the store is away. */
  readonly bootstrapHosts: readonly string[]
  readonly store: Address
  readonly maxDescriptors: number
  /** Processor time for each second, in cores of usual speed. */
  readonly cores: number
  /** Bandwidth of the machine's link. */
  readonly linkMbps: number
  readonly bounds: DeploymentLimits
}

/** What one daemon, or one zone, did at a target. */
export interface TargetCounters {
  /** Requests in progress now. */
  readonly inProgress: number
  /** Requests answered as a sound target does, since the start of the process. */
  readonly succeeded: number
  /** Requests that failed or were not answered, since the start of the process. */
  readonly failed: number
  /** Requests that failed sooner than their work could have ended, since the start of the process. */
  readonly failedEarly: number
  /** Requests that the target refused before running them, since the start of the process. */
  readonly refused: number
  /** Sum of the squared latencies of the answered requests, in square milliseconds. */
  readonly latencySquares: number
}

/** What the fleet knows of a target. */
export interface FleetTargetStats {
  /** Requests in progress from all daemons. */
  readonly inProgress: number
  /** Chance that the target is failing, 0 to 1. */
  readonly failingChance: number
  /** Share of recent requests that the target refused, 0 to 1. */
  readonly refusalShare: number
  /** Recent latency of answered requests, as the root of the mean square; 0 when unknown. */
  readonly latencyMs: number
}

/** How often requests with one fingerprint broke the connection of a target that ran them. */
export type CrashCounts = ReadonlyArray<readonly [fingerprint: string, crashes: number]>

/** A value for a target. */
export type PerTarget<T> = ReadonlyArray<readonly [targetId: string, value: T]>

/** How a try at a target ended, as evidence about the target. */
export type AttemptOutcome = 'succeeded' | 'failed' | 'unreachable' | 'refused' | 'unknown'

/** A try in progress. */
export interface ActiveAttempt {
  /** Ends the try; later calls have no effect. */
  readonly end: (outcome: AttemptOutcome, latencyMs: number) => void
}

/** Which request needs a target. */
export interface ChoiceCriteria {
  readonly service: string
  readonly isIdempotent: boolean
  /** Whether requests that go first use the same targets. */
  readonly hasHigherPriorityTraffic: boolean
  readonly triedTargetIds: ReadonlySet<string>
  /** Monotonic time by which the answer is due. */
  readonly deadlineAtMs: number
}

/** What decided a choice, for the log. */
export interface ChoiceInputs {
  /** Requests in progress from the whole fleet, as far as known. */
  readonly inProgress: number
  /** Chance that the target is failing, 0 to 1. */
  readonly failingChance: number
  /** Share of recent requests that the target refused, 0 to 1. */
  readonly refusalShare: number
  /** Time for one request when a slot is free. */
  readonly serviceTimeMs: number
  readonly isOwnZone: boolean
  /** Whether a connection is open and idle. */
  readonly isConnected: boolean
  /** Expected wait for a slot. */
  readonly waitMs: number
  /** Age of the newest listing of targets. */
  readonly listingAgeMs: number
}

/** A chosen target, or why there is none. */
export type TargetChoice =
  | { readonly type: 'chosen', readonly target: ListedTarget, readonly inputs: ChoiceInputs, readonly attempt: ActiveAttempt }
  | { readonly type: 'too-late', readonly waitMs: number }
  | { readonly type: 'no-target' }

/** Chooses targets and counts the requests there. */
export interface TargetSelector {
  readonly choose: (criteria: ChoiceCriteria) => TargetChoice
}
