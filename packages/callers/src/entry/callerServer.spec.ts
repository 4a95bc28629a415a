import { expect } from 'chai'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { createLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { CallerServer } from './callerServer.js'

const LIMITS = { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 500 }
const DRAIN = { balancerLagMs: 1_000, longestExchangeMs: 30_000 }
const REQUEST = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'

/** A raw connection that keeps everything it reads. */
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

  async answers (count: number): Promise<void> {
    while (this.text.split('HTTP/1.1 200').length - 1 < count) await once(this.socket, 'data')
  }

  async closed (): Promise<void> {
    if (!this.socket.closed) await once(this.socket, 'close')
  }
}

/** A server whose answers the test releases. */
class DrainBench {
  readonly clock = ManualClock.create()
  readonly waiting: Array<() => void> = []
  isHolding = false
  served = 0
  private onServe: () => void = () => {}
  server!: CallerServer

  static async create (): Promise<DrainBench> {
    const bench = new DrainBench()
    bench.server = await CallerServer.create({
      address: { host: '127.0.0.1', port: 0 },
      limits: LIMITS,
      clock: bench.clock,
      log: createLog({ level: 'error', format: 'json', clock: bench.clock, write: () => {} }),
      handler: async (_request, response) => {
        bench.served++
        const held = bench.isHolding ? new Promise<void>(resolve => { bench.waiting.push(resolve) }) : Promise.resolve()
        bench.onServe()
        await held
        response.end('ok')
      }
    })
    return bench
  }

  async reached (served: number): Promise<void> {
    while (this.served < served) await new Promise<void>(resolve => { this.onServe = resolve })
  }

  async callers (count: number): Promise<readonly RawCaller[]> {
    const { port } = this.server
    return await Promise.all(Array.from({ length: count }, async () => await RawCaller.create(port)))
  }
}

describe('CallerServer.drain', () => {
  it('serves requests on idle connections that race the close, and announces it', async () => {
    const bench = await DrainBench.create()
    const callers = await bench.callers(60)
    for (const caller of callers) caller.send()
    await Promise.all(callers.map(async caller => { await caller.answers(1) }))
    const drained = bench.server.drain(DRAIN)
    await bench.clock.advanceMs(DRAIN.balancerLagMs + 600)
    for (const caller of callers) caller.send()
    await Promise.all(callers.map(async caller => { await caller.answers(2) }))
    await Promise.all(callers.map(async caller => { await caller.closed() }))
    await bench.clock.advanceMs(200)
    expect(await drained).to.deep.equal({ cutExchanges: 0 })
    expect(callers.every(({ text }) => /connection: close/i.test(text.slice(text.lastIndexOf('HTTP/1.1'))))).to.equal(true)
    expect(callers.some(({ text }) => /connection: close/i.test(text.slice(0, text.lastIndexOf('HTTP/1.1'))))).to.equal(false)
  })

  it('closes idle connections only after the idle time that answers announced', async () => {
    const bench = await DrainBench.create()
    const [used, fresh] = await bench.callers(2)
    used?.send()
    await used?.answers(1)
    const drained = bench.server.drain(DRAIN)
    await bench.clock.advanceMs(5_000)
    expect([used?.socket.readableEnded, fresh?.socket.readableEnded]).to.deep.equal([false, false])
    expect(used?.text).to.match(/keep-alive: timeout=5/i)
    await bench.clock.advanceMs(3_000)
    await Promise.all([used?.closed(), fresh?.closed()])
    await bench.clock.advanceMs(200)
    expect(await drained).to.deep.equal({ cutExchanges: 0 })
  })

  it('finishes what is in flight, pipelined requests included', async () => {
    const bench = await DrainBench.create()
    bench.isHolding = true
    const [caller] = await bench.callers(1)
    caller?.send(REQUEST + REQUEST)
    await bench.reached(2)
    const drained = bench.server.drain(DRAIN)
    await bench.clock.advanceMs(4_000)
    for (const release of bench.waiting) release()
    await caller?.answers(2)
    await caller?.closed()
    await bench.clock.advanceMs(200)
    expect(await drained).to.deep.equal({ cutExchanges: 0 })
    expect(caller?.text.match(/connection: close/gi)).to.have.length(1)
  })

  it('serves new connections while the balancer lags, and none after it', async () => {
    const bench = await DrainBench.create()
    const { port } = bench.server
    const drained = bench.server.drain(DRAIN)
    await bench.clock.advanceMs(500)
    const [late] = await bench.callers(1)
    late?.send()
    await late?.answers(1)
    await late?.closed()
    await bench.clock.advanceMs(2_000)
    await drained
    const refused = connect(port, '127.0.0.1')
    const [error] = await once(refused, 'error') as [NodeJS.ErrnoException]
    expect(error.code).to.equal('ECONNREFUSED')
  })

  it('cuts an exchange that never ends at the limit, and says so', async () => {
    const bench = await DrainBench.create()
    bench.isHolding = true
    const [caller] = await bench.callers(1)
    caller?.send()
    await bench.reached(1)
    const drained = bench.server.drain(DRAIN)
    await bench.clock.advanceMs(DRAIN.balancerLagMs + DRAIN.longestExchangeMs + 600)
    expect(await drained).to.deep.equal({ cutExchanges: 1 })
  })
})
