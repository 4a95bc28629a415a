import { sha256Hex } from '@lovagehoist/common'
import type { Clock, RunVerdict } from '@lovagehoist/common'
import { Agent, request } from 'undici'
import { answerBody } from '../target/answerBody.js'

/** A request that a caller sends. */
export interface CallerRequest {
  /** Base address, such as `http://127.0.0.1:8080`. */
  readonly baseUrl: string
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly runId: string
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly timeoutMs?: number
  /** Run ids of earlier sends of the same work, whose answers are right as well. */
  readonly earlierRunIds?: readonly string[]
}

/** What the caller got. */
export interface CallerResult {
  readonly runId: string
  /** Status of the answer; 0 when there was none or it broke off. */
  readonly status: number
  /** Verdict of the answer; undefined when there was none. */
  readonly verdict: RunVerdict | undefined
  /** Whether a target's answer is byte for byte the one to this request. */
  readonly isRight: boolean
  readonly latencyMs: number
  /** Kind of the fleet's own answer; empty for a target's answer. */
  readonly problem: string
}

const ANSWER_BYTES = 256
const DEFAULT_TIMEOUT_MS = 30_000

const problemOf = (contentType: string | readonly string[] | undefined, body: Buffer): string => {
  if (contentType !== 'application/problem+json') return ''
  const { type, detail } = JSON.parse(body.toString('utf8')) as { readonly type: string, readonly detail: string }
  return `${type.slice(type.lastIndexOf(':') + 1)}: ${detail}`
}

/** Sends requests as a caller and checks the answers byte for byte. */
export class Caller {
  private constructor (private readonly clock: Clock, private readonly agent: Agent) {}

  /**
   * Creates a caller.
   *
   * @param clock - Source of time.
   * @param connections - Connections to each daemon.
   * @returns The caller.
   */
  static create (clock: Clock, connections = 256): Caller {
    return new Caller(clock, new Agent({ connections, pipelining: 1 }))
  }

  /**
   * Sends one request.
   *
   * @param sent - The request.
   * @returns What came back.
   */
  async send (sent: CallerRequest): Promise<CallerResult> {
    const startedAtMs = this.clock.monotonicMs()
    const timeoutMs = sent.timeoutMs ?? DEFAULT_TIMEOUT_MS
    try {
      const reply = await request(`${sent.baseUrl}${sent.path}`, {
        method: sent.method,
        body: sent.body ?? null,
        headers: { 'x-run-id': sent.runId, ...sent.headers },
        dispatcher: this.agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs
      })
      const body = Buffer.from(await reply.body.arrayBuffer())
      const verdict = reply.headers['lovagehoist-verdict'] as RunVerdict | undefined
      const lengthBytes = Number(sent.headers?.['x-answer-bytes'] ?? ANSWER_BYTES)
      const bodyDigest = sha256Hex(sent.body ?? '')
      const isRight = [sent.runId, ...sent.earlierRunIds ?? []].some(runId => body.equals(answerBody(runId, bodyDigest, lengthBytes)))
      return { runId: sent.runId, status: reply.statusCode, verdict, isRight, latencyMs: this.clock.monotonicMs() - startedAtMs, problem: problemOf(reply.headers['content-type'], body) }
    } catch {
      return { runId: sent.runId, status: 0, verdict: undefined, isRight: false, latencyMs: this.clock.monotonicMs() - startedAtMs, problem: '' }
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }
}
