import { expect } from 'chai'
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { silentLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { disconnectSignalOf } from '../accept/callerRequest.js'
import { CallerServer } from './callerServer.js'
import type { CallerExchange } from './callerServer.js'

interface Served {
  readonly path: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly exchange: CallerExchange
}

const LIMITS = { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 50 }
const LARGE_BODY_BYTES = 20_000_000
/** Socket buffers of both sides hold several megabytes on loopback. */
const MAX_FLOOD_BYTES = 16_000_000
const MAX_TURNS = 200
/** Time for events on the loopback interface between steps of the clock. */
const QUIET_TURNS = 30

const requests = (count: number, from = 0): string => Array.from({ length: count }, (_, index) => `GET /${from + index} HTTP/1.1\r\nHost: h\r\n\r\n`).join('')

/** Lets sockets and continuations run. */
const settle = async (isDone: () => boolean, maxTurns = MAX_TURNS): Promise<void> => {
  // eslint-disable-next-line no-restricted-globals -- lets the event loop turn without advancing the manual clock
  for (let turn = 0; turn < maxTurns && !isDone(); turn++) await new Promise<void>(resolve => { setTimeout(resolve, 1) })
}

describe('requests on one connection', () => {
  const clock = ManualClock.create()
  let server: CallerServer
  let socket: Socket
  let received: string
  let served: Served[]
  let handle: (one: Served) => void | Promise<void>

  const responseCount = (): number => received.split('HTTP/1.1 200').length - 1

  beforeEach(async () => {
    served = []
    received = ''
    handle = () => {}
    const handler = async (request: IncomingMessage, response: ServerResponse, exchange: CallerExchange): Promise<void> => {
      const one = { path: request.url ?? '', request, response, exchange }
      served.push(one)
      await handle(one)
    }
    server = await CallerServer.create({ address: { host: '127.0.0.1', port: 0 }, limits: LIMITS, clock, log: silentLog, handler })
    socket = connect(server.port, '127.0.0.1')
    socket.on('data', data => { received += data.toString() }).on('error', () => { received += 'RESET' })
    await once(socket, 'connect')
  })

  afterEach(() => {
    socket.destroy()
    server.close()
  })

  it('are served eight at a time, so that one connection does not take all slots, and answered in order', async () => {
    socket.write(requests(20))
    await settle(() => served.length > 8)
    expect(served).to.have.length(8)
    for (let done = 0; done < 20; done++) {
      await settle(() => served.length > done)
      served[done]?.response.end(`body ${done};`)
    }
    await settle(() => responseCount() === 20)
    expect(received.match(/body \d+;/g)).to.deep.equal(Array.from({ length: 20 }, (_, index) => `body ${index};`))
  })

  it('are not read beyond 64, and the last response closes the connection, so that the caller sends the others again', async () => {
    handle = ({ response, path }) => { if (path !== '/0') response.end('ok') }
    socket.write(requests(100))
    await settle(() => served.length >= 8)
    served[0]?.response.end('ok')
    await once(socket, 'close')
    expect([served.length, responseCount(), received.match(/connection: close/gi)?.length]).to.deep.equal([64, 64, 1])
    expect(received.lastIndexOf('connection: close')).to.be.greaterThan(received.lastIndexOf('HTTP/1.1 200'))
  })

  it('are not taken up without end while a response is due', async () => {
    const flood = requests(1_000)
    const write = (): void => { while (!socket.destroyed && socket.write(flood)); }
    socket.on('drain', write)
    write()
    await settle(() => socket.destroyed)
    expect(served).to.have.length(8)
    expect(socket.bytesWritten - socket.writableLength).to.be.below(MAX_FLOOD_BYTES)
  })

  it('are not served behind a response that closes the connection, and do not cost that response', async () => {
    handle = ({ response, path }) => { if (path === '/0') response.setHeader('connection', 'close').write('first') }
    socket.write(requests(1))
    await settle(() => received.includes('first'))
    socket.write(requests(3, 1))
    await settle(() => served.length > 1)
    served[0]?.response.end('last')
    await once(socket, 'close')
    expect([served.length, received.includes('last'), received.includes('RESET')]).to.deep.equal([1, true, false])
  })

  it('are not served in a drain behind a response that has announced the close, and others get their turn', async () => {
    socket.write(requests(2))
    await settle(() => served.length === 2)
    const turn = served[1]?.exchange.untilFirst()
    const drained = server.drain({ balancerLagMs: 1_000, longestExchangeMs: 30_000 })
    served[0]?.response.end('first')
    expect(await turn).to.equal(true)
    served[1]?.response.write('second')
    await settle(() => received.includes('second'))
    socket.write(requests(1, 2))
    await settle(() => served.length > 2)
    const closed = once(socket, 'close')
    served[1]?.response.end()
    await closed
    await clock.advanceMs(2_000)
    expect([await drained, served.length, responseCount(), received.match(/connection: close/gi)?.length]).to.deep.equal([{ cutExchanges: 0 }, 2, 2, 1])
  })

  it('learn that they do not get their turn when an earlier response closes the connection', async () => {
    socket.write(requests(2))
    await settle(() => served.length === 2)
    const turn = served[1]?.exchange.untilFirst()
    served[0]?.response.setHeader('connection', 'close').end('last')
    expect(await turn).to.equal(false)
    await once(socket, 'close')
    expect(responseCount()).to.equal(1)
  })

  it('learn at once of the reset of their connection behind an unfinished response', async () => {
    socket.write(requests(2))
    await settle(() => served.length === 2)
    const signals = served.map(({ response }) => disconnectSignalOf(response))
    socket.resetAndDestroy()
    await settle(() => signals.every(({ aborted }) => aborted))
    expect(signals.map(({ aborted }) => aborted)).to.deep.equal([true, true])
  })

  it('learn within 500 ms of the disconnect of their caller behind an unfinished response', async () => {
    socket.write(requests(2))
    await settle(() => served.length === 2)
    const signals = served.map(({ response }) => disconnectSignalOf(response))
    socket.destroy()
    for (let passedMs = 0; passedMs < 500; passedMs += 100) {
      await settle(() => signals.every(({ aborted }) => aborted), QUIET_TURNS)
      await clock.advanceMs(100)
    }
    expect(signals.map(({ aborted }) => aborted)).to.deep.equal([true, true])
  })

  it('do not get a response without a length that looks complete when its handler fails', async () => {
    handle = async ({ response }) => {
      response.writeHead(200).write('part')
      await settle(() => received.includes('part'))
      throw new Error('failed')
    }
    socket.write('GET /0 HTTP/1.0\r\n\r\n')
    await settle(() => socket.closed)
    expect([received.includes('part'), received.endsWith('RESET')]).to.deep.equal([true, true])
  })

  it('get the response to a refused body, which a reset would discard', async () => {
    handle = ({ response }) => { response.setHeader('connection', 'close').end('refused') }
    const closed = once(socket, 'close')
    // The caller reads only after it has sent its body.
    socket.pause()
    socket.write(`POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: ${LARGE_BODY_BYTES}\r\n\r\n`)
    socket.write(Buffer.alloc(LARGE_BODY_BYTES))
    await settle(() => socket.writableLength === 0)
    socket.resume()
    await closed
    expect([responseCount(), received.includes('refused'), received.includes('RESET')]).to.deep.equal([1, true, false])
  })

  it('are asked for a body only once it is read (Expect: 100-continue)', async () => {
    socket.write('POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n')
    await settle(() => served.length === 1)
    await settle(() => received !== '')
    expect(received).to.equal('')
    served[0]?.response.writeContinue()
    await settle(() => received !== '')
    expect(received).to.equal('HTTP/1.1 100 Continue\r\n\r\n')
  })
})
