import { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { CancelTimer, Clock, OutcomeKind, TargetResponse, TargetFailure, TargetRequest } from '@lovagehoist/common'
import type { Connection } from './connection.js'
import type { HeadWatch } from './connectionList.js'
import { framingOf } from './framing.js'

/** How far an exchange has come; decides the verdict of a failure. */
type Stage = 'waiting' | 'sending' | 'answering' | 'ended'

/** Why an exchange was given up by this side. */
class GivenUp extends Error {
  constructor (readonly outcome: OutcomeKind, message: string) {
    super(message)
  }
}

const NOT_MODIFIED = 304
const BROKEN_CODES: ReadonlySet<string> = new Set(['UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'UND_ERR_HEADERS_OVERFLOW'])

const outcomeOf = (error: Error): OutcomeKind => {
  if (error instanceof GivenUp) return error.outcome
  const code = (error as { readonly code?: string }).code ?? ''
  if (code === 'UND_ERR_INVALID_ARG') return 'caller-fault'
  return code.startsWith('HPE_') || BROKEN_CODES.has(code) ? 'broken-answer' : 'reset'
}

const toText = (raw: Buffer[] | string[] | null | undefined): readonly string[] =>
  (raw ?? []).map(part => typeof part === 'string' ? part : part.toString('latin1'))

/** What an exchange works with. */
export interface ExchangeOptions {
  /** Connection that it has for itself. */
  readonly connection: Connection
  readonly request: TargetRequest
  readonly clock: Clock
  /** Watches for silence of the connection. */
  readonly watch: HeadWatch
  /** Called once when the connection is free; `isWhole` allows it to be used again. */
  readonly onEnd: (isWhole: boolean) => void
}

/** A failure, and whether the connection had closed before anything was sent. */
export type ExchangeFailure = TargetFailure & { readonly wasUnsent: boolean }

/** One request and its answer on one connection. */
export class Exchange implements Dispatcher.DispatchHandler {
  private stage: Stage = 'waiting'
  private controller: Dispatcher.DispatchController | undefined
  private failure: GivenUp | undefined
  private cancelTimer: CancelTimer = () => {}
  private trailers: readonly string[] = []
  private receivedBytes = 0
  private expectedBytes: number | undefined
  private readonly body: Readable
  private readonly isFresh: boolean
  private readonly startedAtMs: number
  private settle: (result: TargetResponse | ExchangeFailure) => void = () => {}

  private constructor (private readonly options: ExchangeOptions) {
    this.startedAtMs = options.clock.monotonicMs()
    this.isFresh = options.connection.isFresh
    this.body = new Readable({
      read: () => { if (this.stage !== 'ended') this.controller?.resume() },
      destroy: (error, done) => {
        if (this.stage !== 'ended') this.giveUp(new GivenUp('cancelled', 'the answer was not wanted any more'))
        done(error)
      }
    })
  }

  /**
   * Creates an exchange that has not started.
   *
   * @param options - Connection, request and what is told of its end.
   * @returns The exchange.
   */
  static create (options: ExchangeOptions): Exchange {
    return new Exchange(options)
  }

  /**
   * Sends the request once and waits for the answer's head.
   *
   * @param signal - Gives the exchange up.
   * @returns The answer, whose body still flows, or the failure.
   */
  async run (signal: AbortSignal): Promise<TargetResponse | ExchangeFailure> {
    const { request, connection } = this.options
    const result = new Promise<TargetResponse | ExchangeFailure>(resolve => { this.settle = resolve })
    const cancel = (): void => { this.giveUp(new GivenUp('cancelled', 'the caller is gone or the deadline passed')) }
    signal.addEventListener('abort', cancel, { once: true })
    this.body.once('close', () => { signal.removeEventListener('abort', cancel) })
    this.limit(request.headTimeoutMs, 'no answer in time')
    const { method, path, headers, body } = request
    connection.client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers: [...headers], body: body ?? null, idempotent: false }, this)
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
    if (status < 200 || this.stage !== 'sending') return
    const headers = toText(controller.rawHeaders as Buffer[])
    const { method, findResponseMismatch: refuteAnswer, allowsCloseDelimitedBody: allowsUntilClose } = this.options.request
    const framing = framingOf(method, status, headers)
    const isUnprovable = framing.type === 'unprovable' || (framing.type === 'until-close' && allowsUntilClose !== true)
    const refutation = isUnprovable ? framing.message : refuteAnswer?.(status, headers)
    if (refutation !== undefined) {
      this.giveUp(new GivenUp('broken-answer', refutation))
      return
    }
    if (framing.type === 'length') this.expectedBytes = framing.bytes
    this.stage = 'answering'
    this.options.watch.answered()
    this.limit(this.options.request.bodyIdleTimeoutMs, 'the answer stopped in the middle')
    const latencyMs = this.options.clock.monotonicMs() - this.startedAtMs
    this.settle({ type: 'answer', status, headers, trailers: () => this.trailers, body: this.body, isFreshConnection: this.isFresh, latencyMs })
    if (status === NOT_MODIFIED) this.endAtHead(controller)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.stage !== 'answering') return
    this.receivedBytes += chunk.length
    this.limit(this.options.request.bodyIdleTimeoutMs, 'the answer stopped in the middle')
    if (!this.body.push(chunk)) {
      this.cancelTimer()
      controller.pause()
    }
  }

  onResponseEnd (controller: Dispatcher.DispatchController): void {
    if (this.stage !== 'answering') return
    if (this.options.connection.isBroken) {
      this.fail(new GivenUp('broken-answer', 'the connection broke before the end of the answer'))
      return
    }
    if (this.expectedBytes !== undefined && this.expectedBytes !== this.receivedBytes) {
      this.fail(new GivenUp('broken-answer', 'the answer is shorter than it states'))
      return
    }
    this.cancelTimer()
    this.stage = 'ended'
    this.trailers = toText(controller.rawTrailers as Buffer[])
    this.body.push(null)
    this.options.onEnd(true)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(this.failure ?? error)
  }

  /** Ends a 304, whose stated length belongs to another answer, without waiting for a body. */
  private endAtHead (controller: Dispatcher.DispatchController): void {
    this.cancelTimer()
    this.stage = 'ended'
    this.body.push(null)
    this.options.onEnd(false)
    controller.abort(new GivenUp('cancelled', 'the answer ended with its head'))
  }

  private limit (durationMs: number, message: string): void {
    this.cancelTimer()
    this.cancelTimer = this.options.clock.after(durationMs, () => { this.giveUp(new GivenUp('timeout', message)) })
  }

  private giveUp (reason: GivenUp): void {
    if (this.stage === 'ended' || this.failure !== undefined) return
    this.failure = reason
    this.controller?.abort(reason)
    this.fail(reason)
  }

  private fail (error: Error): void {
    if (this.stage === 'ended') return
    const stage = this.stage
    this.cancelTimer()
    this.stage = 'ended'
    if (stage === 'answering') {
      this.options.onEnd(false)
      this.body.destroy(error)
      return
    }
    this.settle(this.failureOf(error, stage === 'waiting'))
    this.options.onEnd(false)
    this.body.destroy()
  }

  private failureOf (error: Error, isUnsent: boolean): ExchangeFailure {
    const { watch, clock } = this.options
    const outcome = outcomeOf(error)
    const isSilent = outcome === 'timeout' && !isUnsent && watch.timedOut()
    watch.dropped()
    return {
      type: 'failure',
      verdict: isUnsent ? 'not-run' : 'may-have-run',
      outcome: isSilent ? 'silent-connection' : outcome,
      message: error.message,
      isFreshConnection: this.isFresh,
      latencyMs: clock.monotonicMs() - this.startedAtMs,
      wasUnsent: isUnsent && !(error instanceof GivenUp)
    }
  }
}
