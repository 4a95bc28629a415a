import { sha256Hex } from '@lovagehoist/common'
import type { Clock, RunVerdict } from '@lovagehoist/common'
import { Agent, request } from 'undici'
import { createResponseBody } from '../target/responseBody.js'

/** Request that a caller sends. */
export interface CallerRequest {
  /** Base address, such as `http://127.0.0.1:8080`. */
  readonly baseUrl: string
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly runId: string
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly timeoutMs?: number
  /** Run IDs of earlier attempts of the same request; their responses are accepted as correct too. */
  readonly earlierRunIds?: readonly string[]
}

/** Outcome of a request as the caller observed it. */
export interface CallerResult {
  readonly runId: string
  /** Status of the response; 0 when there was none or it was truncated. */
  readonly status: number
  /** Value of the `lovagehoist-verdict` header; undefined when there was no response. */
  readonly verdict: RunVerdict | undefined
  /** Whether the body is byte for byte the one that a target returns for this request. */
  readonly isCorrect: boolean
  readonly latencyMs: number
  /** Type and detail of a problem response that the fleet itself generated; empty for a target's response. */
  readonly problem: string
}

const DEFAULT_RESPONSE_BYTES = 256
const DEFAULT_TIMEOUT_MS = 30_000

const describeProblem = (contentType: string | readonly string[] | undefined, body: Buffer): string => {
  if (contentType !== 'application/problem+json') return ''
  const { type, detail } = JSON.parse(body.toString('utf8')) as { readonly type: string, readonly detail: string }
  return `${type.slice(type.lastIndexOf(':') + 1)}: ${detail}`
}

/** HTTP client that checks the responses byte for byte. */
export class Caller {
  private constructor (private readonly clock: Clock, private readonly agent: Agent) {}

  /**
   * Creates a caller.
   *
   * @param clock - Source of time.
   * @param connections - Maximum number of connections to each daemon.
   * @returns The caller.
   */
  static create (clock: Clock, connections = 256): Caller {
    return new Caller(clock, new Agent({ connections, pipelining: 1 }))
  }

  /**
   * Sends one request.
   *
   * @param callerRequest - The request.
   * @returns The outcome; failures to connect, timeouts and truncated responses give status 0.
   */
  async send (callerRequest: CallerRequest): Promise<CallerResult> {
    const startedAtMs = this.clock.monotonicMs()
    const timeoutMs = callerRequest.timeoutMs ?? DEFAULT_TIMEOUT_MS
    try {
      const response = await request(`${callerRequest.baseUrl}${callerRequest.path}`, {
        method: callerRequest.method,
        body: callerRequest.body ?? null,
        headers: { 'x-run-id': callerRequest.runId, ...callerRequest.headers },
        dispatcher: this.agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs
      })
      const body = Buffer.from(await response.body.arrayBuffer())
      const verdict = response.headers['lovagehoist-verdict'] as RunVerdict | undefined
      const lengthBytes = Number(callerRequest.headers?.['x-answer-bytes'] ?? DEFAULT_RESPONSE_BYTES)
      const bodyDigest = sha256Hex(callerRequest.body ?? '')
      const isCorrect = [callerRequest.runId, ...callerRequest.earlierRunIds ?? []].some(runId => body.equals(createResponseBody(runId, bodyDigest, lengthBytes)))
      return { runId: callerRequest.runId, status: response.statusCode, verdict, isCorrect, latencyMs: this.clock.monotonicMs() - startedAtMs, problem: describeProblem(response.headers['content-type'], body) }
    } catch {
      return { runId: callerRequest.runId, status: 0, verdict: undefined, isCorrect: false, latencyMs: this.clock.monotonicMs() - startedAtMs, problem: '' }
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }
}
