import { expect } from 'chai'
import fc from 'fast-check'
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { PassThrough } from 'node:stream'
import { SystemClock, silentLog } from '@lovagehoist/common'
import { readBody } from '../accept/readBody.js'
import { deliver } from '../responses/deliver.js'
import { CallerServer } from '../server/callerServer.js'
import { createBodyRoom } from './bodyRoom.js'
import { BufferBudget } from './bufferBudget.js'
import type { BufferHold } from './bufferHold.js'
import { closeHoldAfter } from './closeHoldAfter.js'

const LIMITS = { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 500 }
const CAPACITY = 2_097_152
const SEED = 7
const RUNS = 30
const BODY_TIMEOUT_MS = 60
const MAX_WAIT_MS = 20
const FAILED_MARK = 'x-fails'
const SLOW_MARK = 'x-slow'
const WORK_MS = 25

interface Scenario {
  readonly bodyBytes: number
  readonly isChunked: boolean
  /** Share of the body that the caller sends. */
  readonly sentShare: number
  readonly responseBytes: number
  readonly isStreamed: boolean
  readonly doesResponseFail: boolean
  /** What the caller does in the end; a caller that stays reads its whole response. */
  readonly ending: 'stays' | 'leaves-at-once' | 'leaves-later'
  /** Whether a second request is pipelined behind the first. */
  readonly isPipelined: boolean
}

const scenarios = fc.array(fc.record({
  bodyBytes: fc.constantFrom(0, 1, 70_000, 400_000, 1_200_000, 3_000_000),
  isChunked: fc.boolean(),
  sentShare: fc.constantFrom(1, 1, 0.5, 0),
  responseBytes: fc.constantFrom(1, 65_536, 900_000),
  isStreamed: fc.boolean(),
  doesResponseFail: fc.boolean(),
  ending: fc.constantFrom('stays' as const, 'leaves-at-once' as const, 'leaves-later' as const),
  isPipelined: fc.boolean()
}), { minLength: 1, maxLength: 8 })

const headOf = ({ bodyBytes, isChunked, responseBytes, isStreamed, doesResponseFail }: Scenario, isSlow: boolean): string =>
  `POST /${responseBytes}/${String(isStreamed)} HTTP/1.1\r\nHost: h\r\n${doesResponseFail ? `${FAILED_MARK}: 1\r\n` : ''}${isSlow ? `${SLOW_MARK}: 1\r\n` : ''}${isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${bodyBytes}`}\r\n\r\n`

const bodyOf = ({ bodyBytes, isChunked }: Scenario): Buffer => {
  const body = Buffer.alloc(bodyBytes, 'b')
  if (!isChunked) return body
  const end = Buffer.from('0\r\n\r\n')
  return bodyBytes === 0 ? end : Buffer.concat([Buffer.from(`${bodyBytes.toString(16)}\r\n`), body, Buffer.from('\r\n'), end])
}

describe('the bytes that requests hold of the buffer budget', () => {
  const clock = SystemClock.create()
  let budget: BufferBudget
  let breaches: string[]
  let wrongBodies: number
  let server: CallerServer

  const respond = async (request: IncomingMessage, response: ServerResponse, hold: BufferHold): Promise<void> => {
    const room = createBodyRoom({ clock, hold, priority: 1, maxWaitMs: MAX_WAIT_MS })
    const body = await readBody(request, { clock, maxBytes: 2_500_000, timeoutMs: BODY_TIMEOUT_MS, room })
    if (body.isErr()) {
      response.setHeader('connection', 'close').end(body.error)
      return
    }
    if (body.value?.some(byte => byte !== 98) === true) wrongBodies++
    if (request.headers[SLOW_MARK] !== undefined) await clock.sleepMs(WORK_MS)
    const [, bytes, isStreamed] = (request.url ?? '').split('/')
    const content = Buffer.alloc(Number(bytes), 'r')
    const rest = new PassThrough().on('error', () => {})
    const isBuffered = isStreamed !== 'true' && hold.tryReserveResponse(content.length)
    if (request.headers[FAILED_MARK] !== undefined) rest.write(content.subarray(1), () => { rest.destroy(new Error('broken off')) })
    else rest.end(content)
    await deliver(
      { response, requestId: 'r', method: 'POST', invariants: { check: () => {} } as unknown as Parameters<typeof deliver>[0]['invariants'], pacing: { clock, hold, onStalled: () => {} } },
      { status: 200, headers: ['content-length', String(content.length)], buffered: isBuffered ? content : Buffer.alloc(0), rest: isBuffered ? undefined : rest.pause(), trailers: () => [] })
  }

  const play = async (scenario: Scenario): Promise<void> => {
    const socket = connect(server.port, '127.0.0.1')
    socket.on('error', () => {}).resume()
    await once(socket, 'connect')
    const body = bodyOf(scenario)
    const isPipelined = scenario.isPipelined && scenario.sentShare === 1
    const bytesOf = (isSlow: boolean): Buffer => Buffer.concat([Buffer.from(headOf(scenario, isSlow)), body.subarray(0, Math.ceil(body.length * scenario.sentShare))])
    socket.write(isPipelined ? Buffer.concat([bytesOf(true), bytesOf(false)]) : bytesOf(false))
    if (scenario.ending === 'leaves-later') await clock.sleepMs(10)
    if (scenario.ending === 'stays') await clock.sleepMs(2 * BODY_TIMEOUT_MS)
    socket.destroy()
  }

  beforeEach(async () => {
    breaches = []
    wrongBodies = 0
    budget = BufferBudget.create({ capacityBytes: CAPACITY, invariants: { check: (name, holds) => { if (!holds) breaches.push(name) } } })
    const handler = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
      const hold = budget.open()
      try {
        await respond(request, response, hold)
      } finally {
        closeHoldAfter(response, hold)
      }
    }
    server = await CallerServer.create({ address: { host: '127.0.0.1', port: 0 }, limits: LIMITS, clock, log: silentLog, handler })
  })

  afterEach(() => { server.close() })

  it('are released on every exit path: refused, slow and broken bodies, callers that leave, responses that fail', async () => {
    await fc.assert(fc.asyncProperty(scenarios, async played => {
      await Promise.all(played.map(play))
      const isReleased = (): boolean => budget.heldFor('body') + budget.heldFor('response') + budget.waitingCount === 0
      for (let waitedMs = 0; !isReleased() && waitedMs < 2_000; waitedMs += 5) await clock.sleepMs(5)
      expect([budget.heldFor('body'), budget.heldFor('response'), budget.waitingCount, breaches.length, wrongBodies]).to.deep.equal([0, 0, 0, 0, 0])
    }), { seed: SEED, numRuns: RUNS })
  })
})
