import { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { CancelTimer, Clock, OutcomeKind, TargetAnswer, TargetFailure, TargetRequest } from '@lovagehoist/common'
import type { Connection } from './connection.js'

/** How far an exchange has come; decides the verdict of a failure. */
type Stage = 'waiting' | 'sending' | 'answering' | 'ended'

/** Why an exchange was given up by this side. */
class GivenUp extends Error {
  constructor (readonly outcome: OutcomeKind, message: string) {
    super(message)
  }
}

const connectCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'ETIMEDOUT'])

const outcomeOf = (error: Error): OutcomeKind => {
  if (error instanceof GivenUp) return error.outcome
  const code = (error as { readonly code?: string }).code ?? ''
  if (connectCodes.has(code)) return 'refused'
  return code.startsWith('HPE_') || code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH' ? 'broken-answer' : 'reset'
}

const toText = (raw: Buffer[] | string[] | null | undefined): readonly string[] =>
  (raw ?? []).map(part => typeof part === 'string' ? part : part.toString('latin1'))

/** What an exchange reports when it is over. */
export interface ExchangeEnd {
  /** Called once; `isWhole` allows the connection to be used again. */
  readonly onEnd: (isWhole: boolean) => void
}

/** One request and its answer on one connection. */
export class Exchange implements Dispatcher.DispatchHandler {
  private stage: Stage = 'waiting'
  private controller: Dispatcher.DispatchController | undefined
  private failure: GivenUp | undefined
  private cancelTimer: CancelTimer = () => {}
  private trailers: readonly string[] = []
  private readonly body: Readable
  private readonly startedAtMs: number
  private settle: (result: TargetAnswer | TargetFailure) => void = () => {}

  private constructor (
    private readonly connection: Connection,
    private readonly request: TargetRequest,
    private readonly clock: Clock,
    private readonly end: ExchangeEnd
  ) {
    this.startedAtMs = clock.monotonicMs()
    this.body = new Readable({
      read: () => { this.controller?.resume() },
      destroy: (error, done) => {
        if (this.stage !== 'ended') this.giveUp(new GivenUp('cancelled', 'the answer was not wanted any more'))
        done(error)
      }
    })
  }

  /**
   * Creates an exchange that has not started.
   *
   * @param connection - Idle connection that it gets for itself.
   * @param request - What to send.
   * @param clock - Source of time.
   * @param end - Told when the connection is free.
   * @returns The exchange.
   */
  static create (connection: Connection, request: TargetRequest, clock: Clock, end: ExchangeEnd): Exchange {
    return new Exchange(connection, request, clock, end)
  }

  /**
   * Sends the request once and waits for the answer's head.
   *
   * @param signal - Gives the exchange up.
   * @returns The answer, whose body still flows, or the failure.
   */
  async run (signal: AbortSignal): Promise<TargetAnswer | TargetFailure> {
    const result = new Promise<TargetAnswer | TargetFailure>(resolve => { this.settle = resolve })
    const cancel = (): void => { this.giveUp(new GivenUp('cancelled', 'the caller is gone or the deadline passed')) }
    signal.addEventListener('abort', cancel, { once: true })
    this.limit(this.request.headTimeoutMs, 'no answer in time')
    const { method, path, headers, body } = this.request
    this.connection.client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers: [...headers], body: body ?? null }, this)
    if (signal.aborted) cancel()
    return await result
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.failure !== undefined) {
      controller.abort(this.failure)
      return
    }
    if (this.stage !== 'waiting') {
      controller.abort(new GivenUp('reset', 'the connection broke and the request is not sent again'))
      return
    }
    this.controller = controller
    this.stage = 'sending'
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return
    this.stage = 'answering'
    this.limit(this.request.bodyIdleTimeoutMs, 'the answer stopped in the middle')
    this.settle({
      type: 'answer',
      status,
      headers: toText(controller.rawHeaders as Buffer[]),
      trailers: () => this.trailers,
      body: this.body,
      isFreshConnection: this.connection.exchanges === 0,
      latencyMs: this.clock.monotonicMs() - this.startedAtMs
    })
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.limit(this.request.bodyIdleTimeoutMs, 'the answer stopped in the middle')
    if (!this.body.push(chunk)) controller.pause()
  }

  onResponseEnd (controller: Dispatcher.DispatchController): void {
    this.cancelTimer()
    this.stage = 'ended'
    this.trailers = toText(controller.rawTrailers as Buffer[])
    this.body.push(null)
    this.end.onEnd(true)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(this.failure ?? error)
  }

  private limit (durationMs: number, message: string): void {
    this.cancelTimer()
    this.cancelTimer = this.clock.after(durationMs, () => { this.giveUp(new GivenUp('timeout', message)) })
  }

  private giveUp (reason: GivenUp): void {
    if (this.stage === 'ended' || this.failure !== undefined) return
    this.failure = reason
    if (this.controller !== undefined) this.controller.abort(reason)
    else this.fail(reason)
  }

  private fail (error: Error): void {
    if (this.stage === 'ended') return
    const stage = this.stage
    this.cancelTimer()
    this.stage = 'ended'
    this.end.onEnd(false)
    if (stage === 'answering') {
      this.body.destroy(error)
      return
    }
    this.settle({
      type: 'failure',
      verdict: stage === 'waiting' ? 'not-run' : 'may-have-run',
      outcome: outcomeOf(error),
      message: error.message,
      isFreshConnection: this.connection.exchanges === 0,
      latencyMs: this.clock.monotonicMs() - this.startedAtMs
    })
  }
}
