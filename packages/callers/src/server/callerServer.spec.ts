import { expect } from 'chai'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setImmediate as turn } from 'node:timers/promises'
import { SystemClock, createLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { CallerServer } from './callerServer.js'

const LIMITS = { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 500 }
const DRAIN = { balancerLagMs: 1_000, longestExchangeMs: 30_000 }
const REQUEST = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'

/** A raw client connection that records everything it receives. */
class RawCaller {
  text = ''

  constructor (readonly socket: Socket) {
    socket.on('data', data => { this.text += data.toString() }).on('error', () => {})
  }

  static async create (port: number): Promise<RawCaller> {
    const socket = connect(port, '127.0.0.1')
    await once(socket, 'connect')
    return new RawCaller(socket)
  }

  send (text = REQUEST): void {
    this.socket.write(text)
  }

  async waitForResponses (count: number): Promise<void> {
    while (this.text.split('HTTP/1.1 200').length - 1 < count) await once(this.socket, 'data')
  }

  async waitForClose (): Promise<void> {
    if (!this.socket.closed) await once(this.socket, 'close')
  }
}

/** A server whose responses can be held back by the test. */
class DrainHarness {
  readonly clock = ManualClock.create()
  readonly releases: Array<() => void> = []
  readonly logLines: Array<Readonly<Record<string, unknown>>> = []
  holdsResponses = false
  servedCount = 0
  private onServe: () => void = () => {}
  server!: CallerServer

  static async create (): Promise<DrainHarness> {
    const harness = new DrainHarness()
    harness.server = await CallerServer.create({
      address: { host: '127.0.0.1', port: 0 },
      limits: LIMITS,
      clock: harness.clock,
      log: createLog({ level: 'warn', format: 'json', clock: harness.clock, write: line => { harness.logLines.push(JSON.parse(line) as Readonly<Record<string, unknown>>) } }),
      describeRequest: request => ({ requestId: request.headers['x-id'] }),
      handler: async (_request, response) => {
        harness.servedCount++
        const release = harness.holdsResponses ? new Promise<void>(resolve => { harness.releases.push(resolve) }) : Promise.resolve()
        harness.onServe()
        await release
        response.end('ok')
      }
    })
    return harness
  }

  async waitUntilServed (served: number): Promise<void> {
    while (this.servedCount < served) await new Promise<void>(resolve => { this.onServe = resolve })
  }

  async callers (count: number): Promise<readonly RawCaller[]> {
    const { port } = this.server
    return await Promise.all(Array.from({ length: count }, async () => await RawCaller.create(port)))
  }
}

describe('CallerServer.drain', () => {
  it('serves requests that race with the close of an idle connection, and announces the close', async () => {
    const harness = await DrainHarness.create()
    const callers = await harness.callers(60)
    for (const caller of callers) caller.send()
    await Promise.all(callers.map(async caller => { await caller.waitForResponses(1) }))
    const drained = harness.server.drain(DRAIN)
    await harness.clock.advanceMs(DRAIN.balancerLagMs + 600)
    for (const caller of callers) caller.send()
    await Promise.all(callers.map(async caller => { await caller.waitForResponses(2) }))
    await Promise.all(callers.map(async caller => { await caller.waitForClose() }))
    await harness.clock.advanceMs(200)
    expect(await drained).to.deep.equal({ cutExchanges: 0 })
    expect(callers.every(({ text }) => /connection: close/i.test(text.slice(text.lastIndexOf('HTTP/1.1'))))).to.equal(true)
    expect(callers.some(({ text }) => /connection: close/i.test(text.slice(0, text.lastIndexOf('HTTP/1.1'))))).to.equal(false)
  })

  it('closes idle connections only after the announced idle timeout', async () => {
    const harness = await DrainHarness.create()
    const [used, fresh] = await harness.callers(2)
    used?.send()
    await used?.waitForResponses(1)
    const drained = harness.server.drain(DRAIN)
    await harness.clock.advanceMs(5_000)
    expect([used?.socket.readableEnded, fresh?.socket.readableEnded]).to.deep.equal([false, false])
    expect(used?.text).to.match(/keep-alive: timeout=5/i)
    await harness.clock.advanceMs(3_000)
    await Promise.all([used?.waitForClose(), fresh?.waitForClose()])
    await harness.clock.advanceMs(200)
    expect(await drained).to.deep.equal({ cutExchanges: 0 })
  })

  it('finishes requests in flight, including pipelined ones', async () => {
    const harness = await DrainHarness.create()
    harness.holdsResponses = true
    const [caller] = await harness.callers(1)
    caller?.send(REQUEST + REQUEST)
    await harness.waitUntilServed(2)
    const drained = harness.server.drain(DRAIN)
    await harness.clock.advanceMs(4_000)
    for (const release of harness.releases) release()
    await caller?.waitForResponses(2)
    await caller?.waitForClose()
    await harness.clock.advanceMs(200)
    expect(await drained).to.deep.equal({ cutExchanges: 0 })
    expect(caller?.text.match(/connection: close/gi)).to.have.length(1)
  })

  it('accepts new connections until the load balancer has reacted, and none afterwards', async () => {
    const harness = await DrainHarness.create()
    const { port } = harness.server
    const drained = harness.server.drain(DRAIN)
    await harness.clock.advanceMs(500)
    const [late] = await harness.callers(1)
    late?.send()
    await late?.waitForResponses(1)
    await late?.waitForClose()
    await harness.clock.advanceMs(2_000)
    await drained
    const refused = connect(port, '127.0.0.1')
    const [error] = await once(refused, 'error') as [NodeJS.ErrnoException]
    expect(error.code).to.equal('ECONNREFUSED')
  })

  it('serves a connection that arrived while the process was held up beyond the time for new connections', async () => {
    const clock = SystemClock.create()
    const server = await CallerServer.create({ address: { host: '127.0.0.1', port: 0 }, limits: LIMITS, clock, log: createLog({ level: 'error', format: 'json', clock, write: () => {} }), handler: async (_request, response) => { response.end('ok') } })
    const drained = server.drain({ ...DRAIN, balancerLagMs: 50 })
    // After this, timers run before the event loop looks for connections.
    await turn()
    const late = new RawCaller(connect(server.port, '127.0.0.1'))
    late.send()
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 100)
    await late.waitForClose()
    expect(late.text).to.match(/^HTTP\/1.1 200/)
    expect(await drained).to.deep.equal({ cutExchanges: 0 })
  })

  it('aborts an exchange that exceeds the limit, and reports it', async () => {
    const harness = await DrainHarness.create()
    harness.holdsResponses = true
    const [caller] = await harness.callers(1)
    caller?.send()
    await harness.waitUntilServed(1)
    const drained = harness.server.drain(DRAIN)
    await harness.clock.advanceMs(DRAIN.balancerLagMs + DRAIN.longestExchangeMs + 600)
    expect(await drained).to.deep.equal({ cutExchanges: 1 })
  })

  it('names each exchange that it cuts off, and counts those beyond fifty', async () => {
    const harness = await DrainHarness.create()
    harness.holdsResponses = true
    const callers = await harness.callers(52)
    for (const [index, caller] of callers.entries()) {
      caller.send(`POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r-${index}\r\nContent-Length: 0\r\n\r\n`)
      await harness.waitUntilServed(index + 1)
    }
    const drained = harness.server.drain(DRAIN)
    await harness.clock.advanceMs(DRAIN.balancerLagMs + DRAIN.longestExchangeMs + 600)
    expect(await drained).to.deep.equal({ cutExchanges: 52 })
    const lines = harness.logLines.map(({ at: _, level: __, part: ___, ...line }) => line)
    expect(lines.length).to.equal(51)
    expect(lines[0]).to.deep.include({ message: 'exchange cut off', requestId: 'r-0', method: 'POST', isHeadSent: false })
    expect(lines[0]?.ageMs).to.be.within(DRAIN.balancerLagMs + DRAIN.longestExchangeMs, DRAIN.balancerLagMs + DRAIN.longestExchangeMs + 600)
    expect(new Set(lines.slice(0, 50).map(({ requestId }) => requestId)).size).to.equal(50)
    expect(lines[50]).to.deep.equal({ message: 'more exchanges cut off', count: 2 })
  })
})
