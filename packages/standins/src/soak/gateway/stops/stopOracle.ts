import type { GatewayProcess, SentSignal } from '../../../process/gatewayProcess.js'
import { groupBy } from '../../groups.js'

/** A request that was sent on an established connection, and its outcome. All times are monotonic, in milliseconds. */
export interface StopCall {
  readonly requestId: string
  readonly service: string
  readonly isIdempotent: boolean
  readonly isKeptConnection: boolean
  readonly instanceId: string
  readonly sentAtMs: number
  /** Time at which its last byte was sent; undefined when it ended before. */
  readonly lastByteAtMs: number | undefined
  readonly endedAtMs: number
  /** Status of the response; 0 when the connection ended without a complete one. */
  readonly status: number
  /** Whether the response was a target's, by its signature. */
  readonly isSigned: boolean
  readonly answer: string
  /** The smaller one of the caller's time limit and the route's. */
  readonly limitMs: number
}

/** A request that a target began to run. */
export interface StopRun {
  readonly requestId: string
  readonly service: string
  readonly targetId: string
  readonly atMs: number
  /** Time at which the response was complete or its connection closed; undefined while the target works. */
  readonly endedAtMs: number | undefined
  /** Whether the connection closed before the response was complete. */
  readonly isAborted: boolean
}

/** Planned stops and unplanned faults. */
export interface StopConditions {
  /** Times of all SIGTERMs to an instance. */
  readonly stopsOf: (instanceId: string) => readonly number[]
  readonly isInstanceFaultFree: (instanceId: string, fromMs: number, toMs: number) => boolean
  readonly isTargetFaultFree: (targetId: string, fromMs: number, toMs: number) => boolean
}

/** Breach of a guarantee, with the request and its runs. */
export interface StopBreach {
  readonly kind: string
  readonly call: StopCall
  readonly runs: readonly StopRun[]
  /** Times of the SIGTERMs to the request's instance, relative to the moment at which it was sent. */
  readonly stopsMs: readonly number[]
}

/** End of a process, as its parent saw it. */
export type ProcessEnd = Pick<GatewayProcess, 'id' | 'exitCode' | 'startedAtMs' | 'exitedAtMs' | 'logFile'> & {
  readonly sentSignals: readonly SentSignal[]
  /** Whether it has written to its log: it has run its script then. */
  readonly hasLogged: boolean
}

interface ObservedCall {
  readonly call: StopCall
  readonly runs: readonly StopRun[]
  readonly conditions: StopConditions
}

/** Time between SIGTERM and SIGKILL; the platform's `grace_period`. */
export const GRACE_MS = 6_000
const LAST_SIXTH_MS = GRACE_MS * 5 / 6
/** Time after the grace period that still belongs to the stop. */
const AFTER_GRACE_MS = 1_000
/** Time after SIGTERM until which new requests may run into the last sixth of the grace period. */
const LATE_SEND_MS = 3_000
const STABILITY_WINDOW_MS = 3_000
const LOSS_SLACK_MS = 200
const STATUS_OK = 200
const FIRST_SERVER_ERROR = 500
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Response body of a service for a request. */
export const answerTo = (requestId: string, service: string): string => `answer to ${requestId} of ${service}`

const isFaultFree = ({ call, runs, conditions }: ObservedCall): boolean =>
  conditions.isInstanceFaultFree(call.instanceId, call.sentAtMs - STABILITY_WINDOW_MS, call.endedAtMs) &&
  runs.every(({ targetId, atMs }) => conditions.isTargetFaultFree(targetId, atMs, call.endedAtMs))

const isWithinStop = (stopMs: number, atMs: number): boolean => atMs >= stopMs && atMs <= stopMs + GRACE_MS + AFTER_GRACE_MS

/** Whether the target was at work in the last sixth of a grace period on a request that was sent early enough. */
const isEndOfGrace = ({ call, runs, conditions }: ObservedCall): boolean => conditions.stopsOf(call.instanceId).some(stopMs =>
  call.sentAtMs <= stopMs + LATE_SEND_MS && call.endedAtMs >= stopMs + LAST_SIXTH_MS && isWithinStop(stopMs, call.endedAtMs) &&
  runs.some(({ atMs, endedAtMs = Infinity }) => atMs <= call.endedAtMs && endedAtMs >= stopMs + LAST_SIXTH_MS))

const isExcused = (observed: ObservedCall): boolean => {
  const { sentAtMs, endedAtMs, limitMs } = observed.call
  return endedAtMs - sentAtMs >= limitMs || !isFaultFree(observed) || isEndOfGrace(observed)
}

const isCutOff = ({ call, runs }: ObservedCall): boolean => call.status === 0 && runs.length > 0

const isDuringStop = ({ call, conditions }: ObservedCall): boolean => conditions.stopsOf(call.instanceId).some(stopMs => isWithinStop(stopMs, call.endedAtMs))

/** Checks of one request, by kind of breach. */
const breachChecks: Readonly<Record<string, (observed: ObservedCall) => boolean>> = {
  lost: observed => isCutOff(observed) && isDuringStop(observed) && !isExcused(observed),
  cut: observed => isCutOff(observed) && !isDuringStop(observed) && !isExcused(observed),
  // Breaks the rule if the process has read the request, which cannot be seen from outside.
  unanswered: observed => {
    const { call: { status, lastByteAtMs = Infinity, endedAtMs }, runs } = observed
    return status === 0 && runs.length === 0 && endedAtMs > lastByteAtMs + LOSS_SLACK_MS && !isExcused(observed)
  },
  replaced: observed => {
    const { call: { status, isSigned }, runs } = observed
    return status >= FIRST_SERVER_ERROR && !isSigned && runs.some(({ isAborted }) => isAborted) && isDuringStop(observed) && !isExcused(observed)
  },
  'double-run': ({ call, runs }) => !call.isIdempotent && runs.length > 1,
  'false-not-run': ({ call, runs }) => !call.isIdempotent && !call.isSigned && NOT_RUN_STATUSES.has(call.status) && runs.length > 0,
  'wrong-answer': ({ call }) => call.status === STATUS_OK && (!call.isSigned || call.answer !== answerTo(call.requestId, call.service)),
  'wrong-service': ({ call, runs }) => runs.some(({ service }) => service !== call.service)
}

/**
 * Compares the outcomes that callers saw with the runs at the targets and with the times of the stops.
 *
 * @param calls - Requests that have ended.
 * @param runs - Requests that the targets began to run.
 * @param conditions - Times of stops and faults.
 * @returns All breaches.
 */
export const findStopBreaches = (calls: readonly StopCall[], runs: readonly StopRun[], conditions: StopConditions): readonly StopBreach[] => {
  const runsByRequestId = groupBy(runs, ({ requestId }) => requestId)
  return calls.flatMap(call => {
    const observed: ObservedCall = { call, runs: runsByRequestId.get(call.requestId) ?? [], conditions }
    const stopsMs = (): readonly number[] => conditions.stopsOf(call.instanceId).map(stopMs => Math.round(stopMs - call.sentAtMs))
    return Object.entries(breachChecks).filter(([, check]) => check(observed)).map(([kind]) => ({ kind, call, runs: observed.runs, stopsMs: stopsMs() }))
  })
}

/** Whether a SIGHUP ended the process before its script ran, where no program can catch it. */
export const isEarlyHangup = ({ exitCode, hasLogged }: ProcessEnd): boolean => exitCode === 'SIGHUP' && !hasLogged

/** Explanations of the end of a process from outside, by exit code or signal. */
const explanations: Readonly<Record<string, (end: ProcessEnd) => boolean>> = {
  0: ({ sentSignals }) => sentSignals.some(({ name }) => name === 'SIGTERM'),
  SIGTERM: ({ sentSignals, hasLogged }) => !hasLogged && sentSignals.some(({ name }) => name === 'SIGTERM'),
  SIGKILL: ({ sentSignals }) => sentSignals.some(({ name }) => name === 'SIGKILL'),
  SIGHUP: isEarlyHangup
}

/**
 * Finds the processes that ended by themselves.
 *
 * @param ends - Processes that have ended.
 * @returns Those whose end no signal from outside explains.
 */
export const findProcessFaults = (ends: readonly ProcessEnd[]): readonly ProcessEnd[] => ends.filter(end => explanations[String(end.exitCode)]?.(end) !== true)
