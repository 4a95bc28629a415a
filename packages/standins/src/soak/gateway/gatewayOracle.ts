import { groupBy } from '../groups.js'

/** What a caller sent and got. */
export interface SoakCall {
  readonly requestId: string
  readonly path: string
  readonly body: string
  readonly isIdempotent: boolean
  /** Service that alone may run it. */
  readonly service: string
  /** Version that adds its route; undefined for routes that all versions have. */
  readonly sinceVersion: number | undefined
  readonly instanceId: string
  /** Process that got it. */
  readonly pid: number
  readonly sentAtMs: number
  readonly endedAtMs: number
  /** Status of the answer; 0 when the connection ended without a whole one. */
  readonly status: number
  readonly answer: string
  readonly answeredId: string
}

/** A run at a target, as the target saw it. */
export interface SoakRun {
  readonly requestId: string
  readonly path: string
  readonly body: string
  readonly service: string
  readonly targetId: string
  readonly atMs: number
  /** Monotonic time at which the store acknowledged that the target leaves. */
  readonly targetLeftAtMs: number | undefined
}

/** When things were in trouble: a bound in time holds only without. */
export interface SoakConditions {
  /** Monotonic time at which the store acknowledged a version. */
  readonly changedAtMs: (version: number) => number
  readonly isStoreCalm: (fromMs: number, toMs: number) => boolean
  readonly isInstanceCalm: (instanceId: string, fromMs: number, toMs: number) => boolean
  readonly isTargetCalm: (targetId: string, fromMs: number, toMs: number) => boolean
}

/** A broken promise, with what was seen of the request. */
export interface GatewayBreach {
  readonly kind: string
  readonly call: SoakCall | undefined
  readonly runs: readonly SoakRun[]
}

interface Seen {
  readonly call: SoakCall
  readonly runs: readonly SoakRun[]
  readonly conditions: SoakConditions
  /** Whether the same process had served a route of this version or a later one before the request was sent. */
  readonly wasInForce: boolean
}

/** Promises of the platform's settings, in milliseconds. */
export const DRAIN_PERIOD_MS = 2_000
export const CONFIG_APPLY_MS = 2_000
/** Time without trouble after which bounds hold, as the platform's `stability_window`. */
const STABLE_MS = 3_000
const OK = 200
const NOT_FOUND = 404
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

const isCalm = ({ call, conditions }: Seen, fromMs: number, toMs: number): boolean =>
  conditions.isStoreCalm(fromMs - STABLE_MS, toMs) && conditions.isInstanceCalm(call.instanceId, fromMs - STABLE_MS, toMs)

/** Whether a run began too late after its target had announced that it leaves. */
const isAfterDrain = (seen: Seen, { targetId, atMs, targetLeftAtMs }: SoakRun): boolean =>
  targetLeftAtMs !== undefined && atMs > targetLeftAtMs + DRAIN_PERIOD_MS && isCalm(seen, targetLeftAtMs, atMs) && seen.conditions.isTargetCalm(targetId, targetLeftAtMs, atMs)

/** Checks of one request, by the name of the promise. */
const isBroken: Readonly<Record<string, (seen: Seen) => boolean>> = {
  'wrong-answer': ({ call }) => call.status === OK && (call.answer !== `answer to ${call.requestId} of ${call.service}` || call.answeredId !== call.requestId),
  'double-run': ({ call, runs }) => !call.isIdempotent && runs.length > 1,
  'false-not-run': ({ call, runs }) => !call.isIdempotent && NOT_RUN.has(call.status) && runs.length > 0,
  'changed-on-the-way': ({ call, runs }) => runs.some(({ path, body, service }) => path !== call.path || body !== call.body || service !== call.service),
  'run-after-drain': seen => seen.runs.some(run => isAfterDrain(seen, run)),
  cut: ({ call, runs, conditions }) => call.status === 0 && runs.length > 0 && conditions.isInstanceCalm(call.instanceId, call.sentAtMs, call.endedAtMs),
  'config-went-back': ({ call, wasInForce }) => call.status === NOT_FOUND && wasInForce,
  'config-late': seen => {
    const { call, conditions } = seen
    if (call.status !== NOT_FOUND) return false
    const changedAtMs = conditions.changedAtMs(call.sinceVersion ?? 1)
    return call.sentAtMs > changedAtMs + CONFIG_APPLY_MS && isCalm(seen, changedAtMs, call.endedAtMs)
  }
}

/** Newest version that each process had served before a time. */
const inForceBefore = (calls: readonly SoakCall[]): (call: SoakCall) => boolean => {
  const served = calls.filter(({ status, sinceVersion }) => status === OK && sinceVersion !== undefined)
  return call => call.sinceVersion !== undefined &&
    served.some(({ pid, sinceVersion = 0, endedAtMs }) => pid === call.pid && endedAtMs < call.sentAtMs && sinceVersion >= (call.sinceVersion ?? Infinity))
}

/**
 * Compares what callers were told with what targets ran.
 *
 * @param calls - Requests that have ended.
 * @param runs - What the targets began to run.
 * @param conditions - When things were in trouble.
 * @returns Every broken promise.
 */
export const findGatewayBreaches = (calls: readonly SoakCall[], runs: readonly SoakRun[], conditions: SoakConditions): readonly GatewayBreach[] => {
  const byId = groupBy(runs, ({ requestId }) => requestId)
  const wasInForce = inForceBefore(calls)
  return calls.flatMap(call => {
    const seen: Seen = { call, runs: byId.get(call.requestId) ?? [], conditions, wasInForce: call.status === NOT_FOUND && wasInForce(call) }
    return Object.entries(isBroken).filter(([, check]) => check(seen)).map(([kind]) => ({ kind, call, runs: seen.runs }))
  })
}
