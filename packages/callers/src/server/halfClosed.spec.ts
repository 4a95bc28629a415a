import { expect } from 'chai'
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { silentLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { disconnectSignalOf } from '../accept/callerRequest.js'
import { CallerServer } from './callerServer.js'

interface Served {
  readonly response: ServerResponse
  readonly disconnectSignal: AbortSignal
}

const LIMITS = { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 50 }
const REQUEST = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
const INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n'
const MAX_TURNS = 200
/** Time for events on the loopback interface that the test expects not to come. */
const QUIET_TURNS = 30
const STEP_MS = 100

/** Lets sockets and continuations run. */
const settle = async (isDone: () => boolean, maxTurns = MAX_TURNS): Promise<void> => {
  // eslint-disable-next-line no-restricted-globals -- lets the event loop turn without advancing the manual clock
  for (let turn = 0; turn < maxTurns && !isDone(); turn++) await new Promise<void>(resolve => { setTimeout(resolve, 1) })
}

describe('CallerServer, callers that end their half of the connection', () => {
  let clock: ManualClock
  let server: CallerServer
  let socket: Socket
  let received: string
  let served: Served[]

  const start = async (isHalfCloseDeparture = false): Promise<void> => {
    clock = ManualClock.create()
    served = []
    received = ''
    const handler = async (_request: IncomingMessage, response: ServerResponse): Promise<void> => { served.push({ response, disconnectSignal: disconnectSignalOf(response) }) }
    server = await CallerServer.create({ address: { host: '127.0.0.1', port: 0 }, limits: LIMITS, clock, log: silentLog, handler, isHalfCloseDeparture })
    socket = connect({ port: server.port, host: '127.0.0.1', allowHalfOpen: true })
    socket.on('data', data => { received += data.toString() }).on('error', () => { received += 'RESET' })
    await once(socket, 'connect')
  }

  /** Advances the clock in steps, in each of which sockets can react. */
  const advance = async (durationMs: number, onStep: () => void = () => {}): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await clock.advanceMs(STEP_MS)
      onStep()
      await settle(() => false, QUIET_TURNS)
    }
  }

  beforeEach(async () => { await start() })

  afterEach(() => {
    socket.destroy()
    server.close()
  })

  it('get the answer that is due, after which the connection ends at once', async () => {
    socket.end(REQUEST)
    await settle(() => served.length === 1)
    await settle(() => false, QUIET_TURNS)
    served[0]?.response.end('body')
    await settle(() => served[0]?.response.req.socket.destroyed === true)
    expect([received.startsWith('HTTP/1.1 200'), /connection: close/i.test(received), received.endsWith('body'), served[0]?.response.req.socket.destroyed]).to.deep.equal([true, true, true, true])
  })

  it('get interim responses rarely, so that those who have left are noticed', async () => {
    socket.end(REQUEST)
    await settle(() => served.length === 1)
    await settle(() => false, QUIET_TURNS)
    await advance(5_000)
    expect([received.replaceAll(INTERIM, ''), served[0]?.disconnectSignal.aborted]).to.deep.equal(['', false])
    expect(received.length / INTERIM.length).to.be.within(2, 8)
    served[0]?.response.end('body')
    await settle(() => received.endsWith('body'))
    expect(received.replaceAll(INTERIM, '')).to.match(/^HTTP\/1\.1 200 OK\r\n.*\r\n\r\nbody$/s)
  })

  it('are told within 500 ms from those that have left', async () => {
    socket.write(REQUEST)
    await settle(() => served.length === 1)
    socket.destroy()
    await settle(() => false, QUIET_TURNS)
    await advance(400)
    expect(served[0]?.disconnectSignal.aborted).to.equal(true)
  })

  it('are told from those that leave in the middle of an answer which pauses', async () => {
    socket.write(REQUEST)
    await settle(() => served.length === 1)
    served[0]?.response.write('begun')
    await settle(() => received.endsWith('begun\r\n'))
    socket.destroy()
    await settle(() => false, QUIET_TURNS)
    await advance(400)
    expect(served[0]?.disconnectSignal.aborted).to.equal(true)
  })

  it('get the rest of an answer in progress', async () => {
    socket.write(REQUEST)
    await settle(() => served.length === 1)
    served[0]?.response.write('begun')
    await settle(() => received.endsWith('begun\r\n'))
    socket.end()
    await settle(() => false, QUIET_TURNS)
    await advance(400, () => { served[0]?.response.write('more') })
    await advance(1_000)
    served[0]?.response.end('last')
    await settle(() => socket.readableEnded)
    expect([received.match(/more/g)?.length, received.endsWith('last\r\n0\r\n\r\n')]).to.deep.equal([4, true])
  })

  it('get the rest of an answer in progress when the process is held up', async () => {
    socket.write(REQUEST)
    await settle(() => served.length === 1)
    served[0]?.response.write('begun')
    await settle(() => received.endsWith('begun\r\n'))
    socket.end()
    await settle(() => false, QUIET_TURNS)
    clock.jumpMs(1_000)
    // The timer that is due runs before what the target has sent meanwhile is read.
    await clock.advanceMs(0)
    served[0]?.response.write('more')
    await settle(() => false, QUIET_TURNS)
    await advance(400, () => { served[0]?.response.write('more') })
    served[0]?.response.end('last')
    await settle(() => socket.readableEnded)
    expect([received.match(/more/g)?.length, received.endsWith('last\r\n0\r\n\r\n')]).to.deep.equal([5, true])
  })

  it('count as gone at once where no party ends only its half', async () => {
    socket.destroy()
    server.close()
    await start(true)
    socket.end(REQUEST)
    await settle(() => served[0]?.disconnectSignal.aborted === true)
    expect([served[0]?.disconnectSignal.aborted, received]).to.deep.equal([true, ''])
  })
})
