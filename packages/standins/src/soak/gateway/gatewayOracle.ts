import { groupBy } from '../groups.js'

/** A request and its outcome, as the caller saw them. */
export interface SoakCall {
  readonly requestId: string
  readonly path: string
  readonly body: string
  readonly isIdempotent: boolean
  /** The only service that may run the request. */
  readonly service: string
  /** Configuration version that adds its route; undefined for routes of all versions. */
  readonly sinceVersion: number | undefined
  readonly instanceId: string
  /** ID of the process that received the request. */
  readonly pid: number
  readonly sentAtMs: number
  readonly endedAtMs: number
  /** Status of the response; 0 when the connection ended without a complete one. */
  readonly status: number
  readonly answer: string
  readonly answeredId: string
}

/** A request that a target began to run, as the target saw it. */
export interface SoakRun {
  readonly requestId: string
  readonly path: string
  readonly body: string
  readonly service: string
  readonly targetId: string
  readonly atMs: number
  /** Monotonic time at which the store acknowledged the target's drain. */
  readonly targetLeftAtMs: number | undefined
}

/** Times of publications and faults: guarantees with a time limit hold only without faults. */
export interface SoakConditions {
  /** Monotonic time at which the store acknowledged a configuration version. */
  readonly publishedAtMs: (version: number) => number
  readonly isStoreFaultFree: (fromMs: number, toMs: number) => boolean
  readonly isInstanceFaultFree: (instanceId: string, fromMs: number, toMs: number) => boolean
  readonly isTargetFaultFree: (targetId: string, fromMs: number, toMs: number) => boolean
}

/** Breach of a guarantee, with the request and its runs. */
export interface GatewayBreach {
  readonly kind: string
  readonly call: SoakCall | undefined
  readonly runs: readonly SoakRun[]
}

interface ObservedCall {
  readonly call: SoakCall
  readonly runs: readonly SoakRun[]
  readonly conditions: SoakConditions
  /** Whether the same process had served a route of this or a later version before the request was sent. */
  readonly wasServedBefore: boolean
}

/** Guarantee of the platform's settings: time after which a draining target gets no requests. */
export const DRAIN_PERIOD_MS = 2_000
/** Guarantee of the platform's settings: time after which a published configuration is in force. */
export const CONFIG_APPLY_MS = 2_000
/** Time without faults after which time limits hold; the platform's `stability_window`. */
const STABILITY_WINDOW_MS = 3_000
const STATUS_OK = 200
const STATUS_NOT_FOUND = 404
/** Statuses by which the gateway states that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

const isFaultFree = ({ call, conditions }: ObservedCall, fromMs: number, toMs: number): boolean =>
  conditions.isStoreFaultFree(fromMs - STABILITY_WINDOW_MS, toMs) && conditions.isInstanceFaultFree(call.instanceId, fromMs - STABILITY_WINDOW_MS, toMs)

/** Whether a run began too long after the start of its target's drain, and no fault excuses it. */
const isAfterDrain = (observed: ObservedCall, { targetId, atMs, targetLeftAtMs }: SoakRun): boolean =>
  targetLeftAtMs !== undefined && atMs > targetLeftAtMs + DRAIN_PERIOD_MS && isFaultFree(observed, targetLeftAtMs, atMs) && observed.conditions.isTargetFaultFree(targetId, targetLeftAtMs, atMs)

/** Checks of one request, by kind of breach. */
const breachChecks: Readonly<Record<string, (observed: ObservedCall) => boolean>> = {
  'wrong-answer': ({ call }) => call.status === STATUS_OK && (call.answer !== `answer to ${call.requestId} of ${call.service}` || call.answeredId !== call.requestId),
  'double-run': ({ call, runs }) => !call.isIdempotent && runs.length > 1,
  'false-not-run': ({ call, runs }) => !call.isIdempotent && NOT_RUN_STATUSES.has(call.status) && runs.length > 0,
  'changed-on-the-way': ({ call, runs }) => runs.some(({ path, body, service }) => path !== call.path || body !== call.body || service !== call.service),
  'run-after-drain': observed => observed.runs.some(run => isAfterDrain(observed, run)),
  cut: ({ call, runs, conditions }) => call.status === 0 && runs.length > 0 && conditions.isInstanceFaultFree(call.instanceId, call.sentAtMs, call.endedAtMs),
  'config-went-back': ({ call, wasServedBefore }) => call.status === STATUS_NOT_FOUND && wasServedBefore,
  'config-late': observed => {
    const { call, conditions } = observed
    if (call.status !== STATUS_NOT_FOUND) return false
    const publishedAtMs = conditions.publishedAtMs(call.sinceVersion ?? 1)
    return call.sentAtMs > publishedAtMs + CONFIG_APPLY_MS && isFaultFree(observed, publishedAtMs, call.endedAtMs)
  }
}

/** Creates a check whether a call's process had already served a route of the same or a later version before the call was sent. */
const findServedBefore = (calls: readonly SoakCall[]): (call: SoakCall) => boolean => {
  const servedProbes = calls.filter(({ status, sinceVersion }) => status === STATUS_OK && sinceVersion !== undefined)
  return call => call.sinceVersion !== undefined &&
    servedProbes.some(({ pid, sinceVersion = 0, endedAtMs }) => pid === call.pid && endedAtMs < call.sentAtMs && sinceVersion >= (call.sinceVersion ?? Infinity))
}

/**
 * Compares the outcomes reported to callers with the runs at the targets.
 *
 * @param calls - Requests that have ended.
 * @param runs - Requests that the targets began to run.
 * @param conditions - Times of publications and faults.
 * @returns All breaches.
 */
export const findGatewayBreaches = (calls: readonly SoakCall[], runs: readonly SoakRun[], conditions: SoakConditions): readonly GatewayBreach[] => {
  const runsByRequestId = groupBy(runs, ({ requestId }) => requestId)
  const wasServedBefore = findServedBefore(calls)
  return calls.flatMap(call => {
    const observed: ObservedCall = { call, runs: runsByRequestId.get(call.requestId) ?? [], conditions, wasServedBefore: call.status === STATUS_NOT_FOUND && wasServedBefore(call) }
    return Object.entries(breachChecks).filter(([, check]) => check(observed)).map(([kind]) => ({ kind, call, runs: observed.runs }))
  })
}
