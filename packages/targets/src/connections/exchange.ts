import { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import { ChunkCollector } from '@lovagehoist/common'
import type { CancelTimer, Clock, OutcomeKind, TargetResponse, TargetFailure, TargetRequest } from '@lovagehoist/common'
import type { Connection } from './connection.js'
import type { HeadMonitor } from './connectionPool.js'
import { detectFraming } from './framing.js'

/** Progress of an exchange; determines the verdict if it fails. */
type Stage = 'waiting' | 'sending' | 'answering' | 'ended'

/** Reason why this side ended an exchange. */
class ExchangeAborted extends Error {
  constructor (readonly outcome: OutcomeKind, message: string) {
    super(message)
  }
}

const FIRST_FINAL_STATUS = 200
const NOT_MODIFIED = 304
/** Small chunks are passed on together, at the latest when there are this many bytes: each one passed on costs more than its bytes. */
const MAX_JOINED_BYTES = 16_384
/** Interim responses to one request; a target that sends more would keep the processor busy. */
const MAX_INTERIM_RESPONSES = 64
const MALFORMED_RESPONSE_CODES: ReadonlySet<string> = new Set(['UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'UND_ERR_HEADERS_OVERFLOW'])

const outcomeOf = (error: Error): OutcomeKind => {
  if (error instanceof ExchangeAborted) return error.outcome
  const code = (error as { readonly code?: string }).code ?? ''
  if (code === 'UND_ERR_INVALID_ARG') return 'caller-fault'
  return code.startsWith('HPE_') || MALFORMED_RESPONSE_CODES.has(code) ? 'broken-answer' : 'reset'
}

const decodeHeaders = (raw: Buffer[] | string[] | null | undefined): readonly string[] =>
  (raw ?? []).map(part => typeof part === 'string' ? part : part.toString('latin1'))

/** Dependencies of an exchange. */
export interface ExchangeOptions {
  /** Connection reserved for this exchange. */
  readonly connection: Connection
  readonly request: TargetRequest
  readonly clock: Clock
  /** Monitors the connection for silence. */
  readonly monitor: HeadMonitor
  /** Called once when the connection is free; it may be reused if the exchange completed. */
  readonly onEnd: (isComplete: boolean) => void
}

/** A failure, and whether the connection closed before anything was sent. */
export type ExchangeFailure = TargetFailure & { readonly wasUnsent: boolean }

/** Sends one request and receives its response on one connection. */
export class Exchange implements Dispatcher.DispatchHandler {
  private stage: Stage = 'waiting'
  private controller: Dispatcher.DispatchController | undefined
  private failure: ExchangeAborted | undefined
  private cancelTimer: CancelTimer = () => {}
  private trailers: readonly string[] = []
  private receivedBytes = 0
  private expectedBytes: number | undefined
  private interimCount = 0
  /** Time at which data arrived, or the reader asked for more. */
  private lastProgressAtMs = -Infinity
  /** Bytes of the body that have not been passed on. */
  private readonly joining = ChunkCollector.create()
  private isFlushScheduled = false
  /** Whether the body has asked for more and got nothing since. */
  private isReaderWaiting = false
  /** Bytes received since the body asked for more. */
  private aheadBytes = 0
  private readonly body: Readable
  private readonly isFresh: boolean
  private readonly startedAtMs: number
  private settle: (result: TargetResponse | ExchangeFailure) => void = () => {}

  private constructor (private readonly options: ExchangeOptions) {
    this.startedAtMs = options.clock.monotonicMs()
    this.isFresh = options.connection.isFresh
    this.body = new Readable({
      // Nothing is read ahead of the reader beyond one read of the socket.
      highWaterMark: 0,
      read: () => {
        this.isReaderWaiting = true
        this.aheadBytes = 0
        this.lastProgressAtMs = this.options.clock.monotonicMs()
        if (this.joining.lengthBytes > 0) this.flush()
        else if (this.stage !== 'ended') this.readMore()
      },
      destroy: (error, done) => {
        if (this.stage !== 'ended') this.abort(new ExchangeAborted('cancelled', 'the response body was discarded'))
        done(error)
      }
    })
  }

  /**
   * Creates an exchange that has not started.
   *
   * @param options - Connection, request and the callback for its end.
   * @returns The exchange.
   */
  static create (options: ExchangeOptions): Exchange {
    return new Exchange(options)
  }

  /**
   * Sends the request once and waits for the response head.
   *
   * @param signal - Aborts the exchange.
   * @returns The response, whose body is still being received, or the failure.
   */
  async run (signal: AbortSignal): Promise<TargetResponse | ExchangeFailure> {
    const { request, connection } = this.options
    const result = new Promise<TargetResponse | ExchangeFailure>(resolve => { this.settle = resolve })
    const cancel = (): void => { this.abort(new ExchangeAborted('cancelled', 'the caller is gone or the deadline passed')) }
    signal.addEventListener('abort', cancel, { once: true })
    this.body.once('close', () => { signal.removeEventListener('abort', cancel) })
    this.startTimer(request.headTimeoutMs, 'no answer in time')
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
      controller.abort(new ExchangeAborted('reset', 'the connection broke and the request is not sent again'))
      return
    }
    this.controller = controller
    this.stage = 'sending'
    this.options.connection.onAllRead(() => { if (this.stage === 'answering') controller.resume() })
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (this.stage !== 'sending') return
    if (status < FIRST_FINAL_STATUS) {
      if (++this.interimCount > MAX_INTERIM_RESPONSES) this.abort(new ExchangeAborted('broken-answer', 'too many interim responses'))
      return
    }
    const headers = decodeHeaders(controller.rawHeaders as Buffer[])
    // Raw fields are views of the 64 KiB that were read with the head, and would keep them until the end of the response.
    controller.rawHeaders = null
    const { method, findResponseMismatch, allowsCloseDelimitedBody } = this.options.request
    const framing = detectFraming(method, status, headers)
    const isUnprovable = framing.type === 'unprovable' || (framing.type === 'until-close' && allowsCloseDelimitedBody !== true)
    const rejectionReason = isUnprovable ? framing.message : findResponseMismatch?.(status, headers)
    if (rejectionReason !== undefined) {
      this.abort(new ExchangeAborted('broken-answer', rejectionReason))
      return
    }
    if (framing.type === 'length') this.expectedBytes = framing.bytes
    this.stage = 'answering'
    const { id = '', isRefusal } = this.options.request
    if (isRefusal?.(status, headers) === true) this.options.connection.recordRefusal(id)
    this.options.monitor.headReceived()
    this.lastProgressAtMs = this.options.clock.monotonicMs()
    this.watchForStall(this.options.request.bodyIdleTimeoutMs)
    const latencyMs = this.options.clock.monotonicMs() - this.startedAtMs
    this.settle({ type: 'answer', status, headers, trailers: () => this.trailers, body: this.body, isFreshConnection: this.isFresh, latencyMs })
    if (status === NOT_MODIFIED) this.endWithoutBody(controller)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.stage !== 'answering' || chunk.length === 0) return
    this.receivedBytes += chunk.length
    this.aheadBytes += chunk.length
    this.joining.add(chunk)
    if (this.joining.lengthBytes >= MAX_JOINED_BYTES) this.flush()
    this.scheduleFlush()
    // The end of a response of known length comes without a further read.
    if (!this.isReaderWaiting && this.aheadBytes >= MAX_JOINED_BYTES && this.receivedBytes !== this.expectedBytes) controller.pause()
  }

  private readMore (): void {
    const { controller, options: { request: { awaitReadRoom } } } = this
    if (controller?.paused !== true) return
    if (awaitReadRoom === undefined) controller.resume()
    // Room may come free while the HTTP client parses another response; it can't parse two at once.
    else awaitReadRoom(() => { queueMicrotask(() => { if (this.stage === 'answering') controller.resume() }) })
  }

  /** Passes on what one read of the socket has brought, once all of it has been parsed. */
  private scheduleFlush (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    queueMicrotask(() => {
      this.isFlushScheduled = false
      this.lastProgressAtMs = this.options.clock.monotonicMs()
      // While the reader is behind, small chunks are joined further; its next read passes them on.
      if (this.stage === 'answering' && this.isReaderWaiting) this.flush()
    })
  }

  private flush (): void {
    if (this.joining.lengthBytes === 0) return
    this.isReaderWaiting = false
    this.body.push(this.joining.take())
  }

  onResponseEnd (controller: Dispatcher.DispatchController): void {
    if (this.stage !== 'answering') return
    if (this.options.connection.isBroken) {
      this.fail(new ExchangeAborted('broken-answer', 'the connection broke before the end of the response'))
      return
    }
    if (this.expectedBytes !== undefined && this.expectedBytes !== this.receivedBytes) {
      this.fail(new ExchangeAborted('broken-answer', 'the response body is shorter than its content-length'))
      return
    }
    this.cancelTimer()
    this.stage = 'ended'
    this.trailers = decodeHeaders(controller.rawTrailers as Buffer[])
    this.flush()
    this.body.push(null)
    // A target that responds before the end of a body may never read the rest, behind which the next request would wait.
    this.options.onEnd(!this.options.connection.hasUnsentBytes)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(this.failure ?? error)
  }

  /** Ends a 304 response without waiting for a body, because its content-length describes the body of another response. */
  private endWithoutBody (controller: Dispatcher.DispatchController): void {
    this.cancelTimer()
    this.stage = 'ended'
    this.body.push(null)
    this.options.onEnd(false)
    controller.abort(new ExchangeAborted('cancelled', 'the response has no body'))
  }

  private startTimer (durationMs: number, message: string): void {
    this.cancelTimer()
    this.cancelTimer = this.options.clock.after(durationMs, () => { this.abort(new ExchangeAborted('timeout', message)) })
  }

  /** Aborts the exchange once nothing has arrived for a time, unless the reader is behind. */
  private watchForStall (durationMs: number): void {
    this.cancelTimer()
    this.cancelTimer = this.options.clock.after(durationMs, () => {
      const { clock, request } = this.options
      if (this.controller?.paused === true) this.lastProgressAtMs = clock.monotonicMs()
      const leftMs = this.lastProgressAtMs + request.bodyIdleTimeoutMs - clock.monotonicMs()
      if (leftMs > 0) this.watchForStall(leftMs)
      else this.abort(new ExchangeAborted('timeout', 'the response body stalled'))
    })
  }

  private abort (reason: ExchangeAborted): void {
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
    this.settle(this.describeFailure(error, stage === 'waiting'))
    this.options.onEnd(false)
    this.body.destroy()
  }

  private describeFailure (error: Error, isUnsent: boolean): ExchangeFailure {
    const { monitor, clock } = this.options
    const outcome = outcomeOf(error)
    const isSilent = outcome === 'timeout' && !isUnsent && monitor.timedOut()
    monitor.stop()
    return {
      type: 'failure',
      verdict: isUnsent ? 'not-run' : 'may-have-run',
      outcome: isSilent ? 'silent-connection' : outcome,
      message: error.message,
      isFreshConnection: this.isFresh,
      latencyMs: clock.monotonicMs() - this.startedAtMs,
      wasUnsent: isUnsent && !(error instanceof ExchangeAborted)
    }
  }
}
