import type { PlatformResult } from './platform.js'
import type { Target } from './targets.js'

/** An IP address with a port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** A service with its weight in a route's traffic split. */
export interface WeightedService {
  readonly service: string
  /** Weight relative to the sum of all weights of the route. */
  readonly weight: number
}

/** A route of the gateway's configuration. */
export interface GatewayRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly isIdempotent: boolean
  /** Time limit for the whole request. */
  readonly timeoutMs: number
  /** Latency objective of the route. */
  readonly objectiveMs: number
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number
  /** Traffic split over services; at least one entry. */
  readonly weightedServices: readonly WeightedService[]
  /** Maximum number of targets that one request may be sent to. */
  readonly maxAttempts: number
  /** Whether requests need no key of a client account. */
  readonly isPublic: boolean
}

/** A client account of the gateway's configuration: a customer of the operator with its own keys, priority and quota. */
export interface ClientAccount {
  readonly name: string
  /** Secrets that callers present; never logged or exported. */
  readonly keys: readonly string[]
  /** Overrides the priority of the account's routes; 0 is the highest. */
  readonly priority: number | undefined
  /** Requests per second over all daemons; 0 for no limit. */
  readonly requestsPerSecond: number
  /** Requests beyond the rate that may be made at once, over all daemons. */
  readonly burst: number
}

/** A service of the gateway's configuration. */
export interface GatewayService {
  readonly name: string
  /** Connections that one target accepts from the whole fleet. */
  readonly maxConnections: number
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly maxHeadBytes: number
  readonly maxBodyBytes: number
  readonly headTimeoutMs: number
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number
}

/** Configuration of the gateway as set by the operator. */
export interface GatewayConfig {
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: readonly GatewayService[]
  readonly limits: CallerLimits
  /** Client accounts, whose keys requests must carry; undefined if the configuration knows no accounts. */
  readonly accounts: readonly ClientAccount[] | undefined
}

/** A target as its own row in the store describes it. */
export interface ListedTarget extends Target {
  /** Remaining warm-up time in which the target is slow after its start. */
  readonly coldForMs: number
}

/** A row that could not be decoded. */
export interface SkippedRow {
  readonly key: string
  readonly reason: string
}

/** All targets as of one version of the store. */
export interface TargetListing {
  /** Version of the store that was read; later listings have a higher one. */
  readonly storeVersion: number
  readonly targets: readonly ListedTarget[]
  readonly skipped: readonly SkippedRow[]
}

/** The configuration as of one version of the store. */
export interface ConfigSnapshot {
  /** Version of the store that was read; the next watch starts from it. */
  readonly storeVersion: number
  /** Undefined when the operator has stored none or it cannot be decoded. */
  readonly config: GatewayConfig | undefined
  /** The stored text, which is passed on to instances that cannot reach the store. */
  readonly text: string | undefined
  /** Why the text could not be decoded. */
  readonly error: string | undefined
}

/** Result of a watch of the configuration; `history-lost` means that it must be read again. */
export type ConfigWatchResult =
  | { readonly type: 'reading', readonly snapshot: ConfigSnapshot }
  | { readonly type: 'unchanged', readonly storeVersion: number }
  | { readonly type: 'history-lost' }

/** The record under which an instance of the fleet registers itself. */
export interface InstanceRecord {
  readonly instanceId: string
  readonly startId: string
  readonly host: string
  readonly availabilityZone: string
  /** Fraction of a relay's workload that the instance's machine can handle, from 0 to 1. */
  readonly relayFitness: number
}

/** Access to the platform's store, from which the gateway reads targets and configuration and where it registers instances. */
export interface GatewayStore {
  readonly readTargets: () => PlatformResult<TargetListing>
  readonly readConfig: () => PlatformResult<ConfigSnapshot>
  /** Waits for a change of the configuration, at most for `waitMs`; the signal cancels the watch. */
  readonly watchConfig: (afterStoreVersion: number, waitMs: number, signal: AbortSignal) => PlatformResult<ConfigWatchResult>
  readonly readInstances: () => PlatformResult<readonly InstanceRecord[]>
  /** Registers instances under their ids, at most 100 at once. */
  readonly putInstances: (instances: readonly InstanceRecord[]) => PlatformResult<void>
  /** Decodes a configuration text received from another instance. */
  readonly decodeConfig: (text: string) => ConfigSnapshot
  readonly close: () => Promise<void>
}

/** Names of the header fields defined by the platform. */
export interface GatewayHeaders {
  readonly requestId: string
  /** Time in milliseconds for which the caller will wait. */
  readonly deadline: string
  /** Id of the only target that may run the request. */
  readonly expectedTarget: string
  /** In a response: the target did not run the request. */
  readonly notRun: string
  /** In a response: proof that it comes from a target. */
  readonly signature: string
  /** In a response: the target leaves. */
  readonly leaving: string
  /** In a response: requests per second that the target takes from the whole fleet. */
  readonly limit: string
  /** In a request to a target: name of the client account that makes it. */
  readonly account: string
}

/** Limits on shutdown time and retries that the deployment sets. */
export interface DeploymentLimits {
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: number
  /** Time after the store accepted that a target leaves from which no request may reach it. */
  readonly targetDrainMs: number
  /** Time after the store accepted a configuration from which no request may be handled by an older one. */
  readonly configApplyMs: number
  /** Retry budget: retries allowed per request to a service, as a ratio. */
  readonly retryShare: number
  /** Retries that the whole fleet may make in each window beyond that ratio. */
  readonly retrySlack: number
  /** Sliding window over which the retry budget is counted. */
  readonly retryWindowMs: number
  /** Share of a service's healthy targets that must get requests while a part of its requests fails. */
  readonly floorShare: number
  /** Time within which a removed key of a client account must be refused. */
  readonly keyRevocationMs: number
  /** Whether that also binds a daemon that reaches neither the store nor other daemons, which must then refuse all keys. */
  readonly isKeyRevocationStrict: boolean
  /** Quotas of client accounts. */
  readonly quota: QuotaBounds
}

/** Window and tolerance of the quotas of client accounts, over the whole fleet. */
export interface QuotaBounds {
  /** Length of the sliding window in which requests are counted. */
  readonly windowMs: number
  /** Tolerated share of requests beyond rate x window + burst. */
  readonly overageShare: number
  /** Tolerated requests in a window beyond that share. */
  readonly slackRequests: number
}

/** Settings of a gateway daemon. */
export interface GatewaySettings {
  readonly instanceId: string
  readonly availabilityZone: string
  /** All availability zones of the deployment, this daemon's own included. */
  readonly availabilityZones: readonly string[]
  /** Whether the whole fleet starts for the first time, so that no process replaces an earlier one. */
  readonly isFirstStart: boolean
  /** Address on which callers are served. */
  readonly callers: Address
  /** Address of the readiness endpoint that the load balancer probes. */
  readonly readiness: Address
  /** Address on which other daemons connect. */
  readonly peers: Address
  /** Hosts of a few daemons to contact while the store is unavailable. */
  readonly bootstrapHosts: readonly string[]
  readonly store: Address
  readonly maxDescriptors: number
  /** CPU time available per second, in standard cores. */
  readonly cores: number
  /** Memory that the process may use before it is killed, in megabytes. */
  readonly memoryMb: number
  /** Bandwidth of the machine's network link. */
  readonly linkMbps: number
  readonly bounds: DeploymentLimits
}

/** Request counters of one daemon, or summed over one zone, for a target. */
export interface TargetCounters {
  /** Requests in progress now (a gauge). */
  readonly inProgress: number
  /** Requests that got a response expected of a healthy target, since the start of the process. */
  readonly succeeded: number
  /** Requests that could not be delivered or waited unusually long, since the start of the process. */
  readonly failed: number
  /** Requests that failed in the time that the work normally takes, since the start of the process. */
  readonly failedLate: number
  /** Requests that failed faster than the target could have done the work, since the start of the process. */
  readonly failedEarly: number
  /** Requests that the target rejected without running them, since the start of the process. */
  readonly refused: number
  /** Sum of the squared latencies of the succeeded requests, in square milliseconds; yields the root mean square latency. */
  readonly latencySquares: number
}

/** Statistics of a target, aggregated over the fleet. */
export interface FleetTargetStats {
  /** Requests in progress from all daemons. */
  readonly inProgress: number
  /** Estimated probability that the target is failing, 0 to 1. */
  readonly failingChance: number
  /** Fraction of recent requests that the target rejected, 0 to 1. */
  readonly refusalShare: number
  /** Root mean square of the recent latencies of succeeded requests; 0 when unknown. */
  readonly latencyMs: number
  /** Time since the last request of any daemon was sent to the target. */
  readonly idleMs: number
  /** Whether daemons of the relay's own zone have sent it requests recently; known to the relay alone. */
  readonly isUsedHere?: boolean
}

/** A value for each target. */
export type PerTarget<T> = ReadonlyArray<readonly [targetId: string, value: T]>

/** Outcome of an attempt at a target, as evidence of the target's health. */
export type AttemptOutcome = 'succeeded' | 'failed' | 'disconnected' | 'unreachable' | 'refused' | 'unknown'

/** An attempt in progress at a target. */
export interface ActiveAttempt {
  /** Records the end of the attempt; later calls have no effect. */
  readonly end: (outcome: AttemptOutcome, latencyMs: number) => void
}

/** Criteria for choosing a target for a request. */
export interface ChoiceCriteria {
  readonly service: string
  readonly isIdempotent: boolean
  /** Whether requests of higher priority use the same targets, so that some slots must stay free for them. */
  readonly hasHigherPriorityTraffic: boolean
  readonly triedTargetIds: ReadonlySet<string>
  /** Whether only targets with an idle connection may be chosen. */
  readonly needsConnection?: boolean
  /** Monotonic time at which the response is due. */
  readonly deadlineAtMs: number
}

/** The inputs of a choice, which are logged. */
export interface ChoiceInputs {
  /** Known requests in progress from the whole fleet. */
  readonly inProgress: number
  /** Estimated probability that the target is failing, 0 to 1. */
  readonly failingChance: number
  /** Fraction of recent requests that the target rejected, 0 to 1. */
  readonly refusalShare: number
  /** Expected time to serve one request once a slot is free. */
  readonly serviceTimeMs: number
  readonly isOwnZone: boolean
  /** Whether an idle connection is open. */
  readonly isConnected: boolean
  /** Expected wait for a slot. */
  readonly waitMs: number
  /** Age of the latest listing of targets. */
  readonly listingAgeMs: number
  /** Time since any daemon last sent the target a request, or since it was first seen. */
  readonly idleMs: number
  /** Whether the target was chosen because it was idle, not because it was the best one. */
  readonly isProbe: boolean
}

/** The chosen target, or the reason why there is none. */
export type TargetChoice =
  | { readonly type: 'chosen', readonly target: ListedTarget, readonly inputs: ChoiceInputs, readonly attempt: ActiveAttempt }
  | { readonly type: 'too-late', readonly waitMs: number }
  /** All targets name a limit and none may take another request now; `retryDelayMs` is the delay after which the caller may return. */
  | { readonly type: 'limited', readonly retryDelayMs: number }
  /** All targets rest; `retryDelayMs` is the delay after which the caller may return. */
  | { readonly type: 'resting', readonly retryDelayMs: number }
  | { readonly type: 'no-target' }

/** Chooses a target for each request and tracks the requests in progress at each target. */
export interface TargetSelector {
  readonly choose: (criteria: ChoiceCriteria) => TargetChoice
}
