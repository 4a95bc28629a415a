import { VERDICT_HEADER, joinVerdicts } from '@lovagehoist/common'
import type { Clock, GatewayHeaders, InstanceRecord, Log, Random, RawHeaders, RunVerdict, Target, TargetResponse, TargetSender } from '@lovagehoist/common'
import { findHeader } from '../exchange/headers.js'
import type { BufferedResponse } from '../exchange/bufferResponse.js'
import type { Problem, ProblemKind } from '../responses/problem.js'
import { isProblemKind } from '../responses/problem.js'
import type { AcceptedGatewayRequest } from './acceptGatewayRequest.js'
import { FORWARDING_HEADER, encodeForwarding } from './forwarding.js'
import { bufferUntilDeadline } from './gatewayAttempt.js'

/** Dependencies of a forwarder. */
export interface PeerForwarderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly headers: GatewayHeaders
  /** Sends requests to other daemons. */
  readonly sender: TargetSender
  /** Other daemons that this one knows. */
  readonly peers: () => readonly InstanceRecord[]
  /** Port at which daemons accept forwarded requests. */
  readonly peerPort: number
}

/** Result of forwarding a request: the answer of a target, a problem, or `not-taken` if no other daemon took it and nothing was run. */
export type ForwardingResult =
  | { readonly type: 'answer', readonly response: BufferedResponse }
  | { readonly type: 'problem', readonly problem: Problem }
  | { readonly type: 'not-taken', readonly detail: string }

/** Result at one daemon; `verdict` tells whether the request may be forwarded once more. */
type PeerResult = Exclude<ForwardingResult, { readonly type: 'not-taken' }> | { readonly type: 'failed', readonly verdict: RunVerdict, readonly detail: string }

/** Daemons that are tried for one request. */
const MAX_TRIED_PEERS = 4
/** Time for which a daemon is left out after it could not be connected to, or did not take a request. */
const UNREACHABLE_MS = 5_000
const NOT_TAKING_MS = 1_000
/** Problems by which a daemon says that others may take the request. */
const NOT_TAKING_KINDS: ReadonlySet<ProblemKind> = new Set(['isolated', 'leaving', 'not-ready'])
const VERDICTS: ReadonlySet<string> = new Set<RunVerdict>(['not-run', 'may-have-run', 'ran'])
const PROBLEM_TYPE = 'application/problem+json'
const MS_PER_SECOND = 1_000

const verdictOf = (headers: RawHeaders): RunVerdict => {
  const value = findHeader(headers, VERDICT_HEADER)
  return value !== undefined && VERDICTS.has(value) ? value as RunVerdict : 'may-have-run'
}

const findMismatch = (_status: number, headers: RawHeaders): string | undefined =>
  VERDICTS.has(findHeader(headers, VERDICT_HEADER) ?? '') ? undefined : 'the answer of another daemon states no verdict'

const problemOf = ({ headers, buffered }: BufferedResponse, verdict: RunVerdict): Problem => {
  const { type, detail } = parseProblem(buffered)
  const kind = type.split(':').at(-1) ?? ''
  const retryAfterMs = Number(findHeader(headers, 'retry-after')) * MS_PER_SECOND
  return { kind: isProblemKind(kind) ? kind : 'target-failed', verdict, detail, ...(Number.isFinite(retryAfterMs) ? { retryAfterMs } : {}) }
}

/** Problem of a request that an earlier daemon may have run, whatever the later ones said. */
const failedProblem = (verdict: RunVerdict, detail: string): ForwardingResult => ({ type: 'problem', problem: { kind: 'target-failed', verdict, detail } })

const parseProblem = (body: Buffer): { readonly type: string, readonly detail: string } => {
  try {
    const { type, detail } = JSON.parse(body.toString()) as { readonly type?: unknown, readonly detail?: unknown }
    return { type: String(type), detail: String(detail) }
  } catch {
    return { type: '', detail: 'another daemon answered with an unreadable problem' }
  }
}

/** Serves requests through other daemons while this one reaches no target. */
export class PeerForwarder {
  private readonly avoidedUntilMs = new Map<string, number>()

  private constructor (private readonly options: PeerForwarderOptions) {}

  /**
   * Creates a forwarder.
   *
   * @param options - Other daemons and the sender to them.
   * @returns The forwarder.
   */
  static create (options: PeerForwarderOptions): PeerForwarder {
    return new PeerForwarder(options)
  }

  /** Whether any other daemon is known. */
  get hasPeers (): boolean {
    return this.options.peers().length > 0
  }

  /**
   * Forwards a request to other daemons until one takes it. One that may have run is forwarded again only if it is idempotent.
   *
   * @param accepted - Accepted request.
   * @param attempts - Number of targets to which it may still be sent.
   * @param mayRepeat - Whether the retry budget allows to forward a request again that may have run.
   * @returns Answer of a target, a problem, or that no daemon took it.
   */
  async forward (accepted: AcceptedGatewayRequest, attempts: number, mayRepeat: () => boolean): Promise<ForwardingResult> {
    const { clock, log } = this.options
    const tried = new Set<string>()
    let attemptsLeft = attempts
    let verdict: RunVerdict = 'not-run'
    let detail = 'no other daemon is known that reaches targets'
    while (tried.size < MAX_TRIED_PEERS && clock.monotonicMs() < accepted.deadlineAtMs && !accepted.disconnectSignal.aborted) {
      const peer = this.choosePeer(tried)
      if (peer === undefined) break
      tried.add(peer.instanceId)
      const result = await this.forwardTo(peer, accepted, attemptsLeft)
      log.info('forwarded to another daemon', { requestId: accepted.requestId, peer: peer.instanceId, result: result.type, ...(result.type === 'failed' ? { verdict: result.verdict, detail: result.detail } : {}) })
      if (result.type === 'answer') return result
      if (result.type === 'problem') return verdict === 'not-run' ? result : failedProblem(joinVerdicts(verdict, result.problem.verdict), result.problem.detail)
      detail = result.detail
      verdict = joinVerdicts(verdict, result.verdict)
      if (result.verdict === 'not-run') continue
      if (!accepted.route.isIdempotent || --attemptsLeft < 1 || !mayRepeat()) return failedProblem(verdict, detail)
    }
    return verdict === 'not-run' ? { type: 'not-taken', detail } : failedProblem(verdict, detail)
  }

  private choosePeer (tried: ReadonlySet<string>): InstanceRecord | undefined {
    const { clock, random, peers } = this.options
    const nowMs = clock.monotonicMs()
    const candidates = peers().filter(({ instanceId }) => !tried.has(instanceId) && (this.avoidedUntilMs.get(instanceId) ?? -Infinity) <= nowMs)
    return candidates[random.int(Math.max(1, candidates.length))]
  }

  private async forwardTo (peer: InstanceRecord, accepted: AcceptedGatewayRequest, attempts: number): Promise<PeerResult> {
    const { clock, headers, sender } = this.options
    const remainingMs = Math.max(1, Math.floor(accepted.deadlineAtMs - clock.monotonicMs()))
    const forwarding = encodeForwarding({ service: accepted.service, configVersion: accepted.configVersion, attempts, callerAddress: accepted.callerAddress, account: accepted.account?.name })
    const sent = await sender.send(this.targetOf(peer), {
      method: accepted.method,
      path: accepted.path,
      headers: [...accepted.headers, headers.deadline, String(remainingMs), FORWARDING_HEADER, forwarding],
      body: accepted.body,
      isIdempotent: accepted.route.isIdempotent,
      headTimeoutMs: remainingMs,
      bodyIdleTimeoutMs: remainingMs,
      findResponseMismatch: findMismatch,
      allowsCloseDelimitedBody: true,
      awaitReadRoom: read => { accepted.bufferHold.awaitReadRoom(read) }
    }, accepted.route.isIdempotent ? accepted.disconnectSignal : new AbortController().signal)
    if (sent.type === 'answer') return await this.readAnswer(peer, accepted, sent)
    if (sent.verdict === 'not-run') this.avoid(peer, UNREACHABLE_MS)
    return { type: 'failed', verdict: sent.verdict, detail: sent.message }
  }

  private async readAnswer (peer: InstanceRecord, accepted: AcceptedGatewayRequest, sent: TargetResponse): Promise<PeerResult> {
    const verdict = verdictOf(sent.headers)
    const isProblem = verdict !== 'ran' || (findHeader(sent.headers, 'content-type') === PROBLEM_TYPE && findHeader(sent.headers, this.options.headers.signature) === undefined)
    // A problem is read here and not streamed, so it is buffered also when there is no room; it is short.
    const buffered = await bufferUntilDeadline(this.options.clock, accepted, sent, ...(isProblem ? [() => true] : []))
    if (buffered === undefined) return { type: 'failed', verdict: verdict === 'not-run' ? verdict : 'may-have-run', detail: 'the answer broke off' }
    if (!isProblem) return { type: 'answer', response: buffered }
    const problem = problemOf(buffered, verdict)
    if (verdict !== 'not-run' || !NOT_TAKING_KINDS.has(problem.kind)) return { type: 'problem', problem }
    this.avoid(peer, NOT_TAKING_MS)
    return { type: 'failed', verdict, detail: problem.detail }
  }

  private avoid ({ instanceId }: InstanceRecord, durationMs: number): void {
    this.avoidedUntilMs.set(instanceId, this.options.clock.monotonicMs() + durationMs)
  }

  private targetOf ({ instanceId, startId, host, availabilityZone }: InstanceRecord): Target {
    return { id: `${instanceId} ${startId}`, service: 'daemons', host, port: this.options.peerPort, region: '', availabilityZone, slots: 1, startedAtMs: 0, isLeaving: false }
  }
}
