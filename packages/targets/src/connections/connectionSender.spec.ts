import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { setImmediate as turn } from 'node:timers/promises'
import { expect } from 'chai'
import { ManualClock, expectSnapshot, fakeTarget } from '@lovagehoist/common/testing'
import type { Target, TargetResponse, TargetFailure, TargetRequest } from '@lovagehoist/common'
import { ConnectionSender } from './connectionSender.js'

type BreakAt = 'none' | 'after-accept' | 'after-head' | 'mid-body' | 'after-body' | 'after-status' | 'mid-answer' | 'before-last-byte'
type Coding = 'length' | 'chunked'

const BODY = 'x'.repeat(4_000)
const RESPONSES: Readonly<Record<Coding, string>> = {
  length: `HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n${'a'.repeat(8)}`,
  chunked: `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n${'a'.repeat(4)}\r\n4\r\n${'a'.repeat(4)}\r\n0\r\n\r\n`
}
const NEVER = new AbortController().signal

/** TCP server that closes connections at a given point and counts the request heads it receives. */
class RawTarget {
  breakAt: BreakAt = 'none'
  response = RESPONSES.length
  heads = 0
  readonly sockets = new Set<Socket>()
  private constructor (readonly server: Server) {}

  static async create (): Promise<RawTarget> {
    const server = createServer()
    const target = new RawTarget(server)
    server.on('connection', socket => { target.accept(socket) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return target
  }

  get target (): Target {
    return fakeTarget('t1', { port: (this.server.address() as AddressInfo | null)?.port ?? 1 })
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    if (!this.server.listening) return
    this.server.close()
    await once(this.server, 'close')
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
    if (this.breakAt === 'after-accept') {
      socket.destroy()
      return
    }
    let received = ''
    socket.on('data', data => {
      if (received === '') this.heads++
      received += data.toString('latin1')
      if (this.breakAt === 'after-head' || this.breakAt === 'mid-body') socket.destroy()
      if (!received.endsWith(BODY) && !received.endsWith('\r\n\r\n')) return
      received = ''
      this.reply(socket)
    })
  }

  private reply (socket: Socket): void {
    const headEnd = this.response.indexOf('\r\n\r\n') + 4
    const lengths: Readonly<Record<BreakAt, number>> = {
      none: this.response.length,
      'after-accept': 0,
      'after-head': 0,
      'mid-body': 0,
      'after-body': 0,
      'after-status': headEnd,
      'mid-answer': headEnd + 4,
      'before-last-byte': this.response.length - 1
    }
    const part = this.response.slice(0, lengths[this.breakAt])
    if (this.breakAt === 'none') socket.write(part)
    else socket.end(part)
  }
}

const createRequest = (change: Partial<TargetRequest> = {}): TargetRequest =>
  ({ method: 'POST', path: '/pay', headers: ['host', 'x'], body: Buffer.from(BODY), isIdempotent: false, headTimeoutMs: 1_000, bodyIdleTimeoutMs: 1_000, ...change })

const outcomeOf = async (result: TargetResponse | TargetFailure): Promise<string> => {
  if (result.type === 'failure') return `${result.verdict} ${result.outcome}`
  try {
    let body = ''
    for await (const chunk of result.body) body += String(chunk)
    return `answer ${result.status} ${body.length} bytes`
  } catch {
    return 'answer broken'
  }
}

describe('sending to a target', () => {
  let raw: RawTarget
  let sender: ConnectionSender
  let clock: ManualClock
  beforeEach(async () => {
    clock = ManualClock.create()
    raw = await RawTarget.create()
    sender = ConnectionSender.create({ clock, connectTimeoutMs: () => 1_000 })
  })
  afterEach(async () => {
    sender.close()
    await raw.close()
  })

  const send = async (change: Partial<TargetRequest> = {}): Promise<string> => await outcomeOf(await sender.send(raw.target, createRequest(change), NEVER))

  it('reports at each break point whether the request may have run, and writes each request at most once', async function () {
    const points: readonly BreakAt[] = ['after-accept', 'after-head', 'mid-body', 'after-body', 'after-status', 'mid-answer', 'before-last-byte', 'none']
    const seen: Record<string, string> = {}
    for (const coding of ['length', 'chunked'] as const) {
      for (const isReused of [false, true]) {
        for (const point of points) {
          sender.close()
          Object.assign(raw, { breakAt: 'none', response: RESPONSES[coding] })
          if (isReused) await send()
          Object.assign(raw, { breakAt: point, heads: 0 })
          const outcome = await send()
          seen[`${coding}, ${isReused ? 'kept alive' : 'fresh'}, ${point}`] = outcome
          expect(raw.heads, point).to.be.at.most(1)
          if (outcome.startsWith('not-run')) expect(raw.heads, point).to.equal(0)
        }
      }
    }
    expectSnapshot(this, seen)
  })

  it('reports not-run when nothing listens', async () => {
    const { target } = raw
    await raw.close()
    expect(await outcomeOf(await sender.send(target, createRequest(), NEVER))).to.equal('not-run refused')
  })

  it('opens another connection when an idle one was closed, without writing the request twice', async () => {
    await send()
    for (const socket of raw.sockets) {
      socket.destroy()
      await once(socket, 'close')
    }
    expect(await send()).to.equal('answer 200 8 bytes')
    expect(raw.heads).to.equal(2)
  })

  it('rejects responses whose end can not be proven', async function () {
    const heads: Readonly<Record<string, string>> = {
      'no length': 'HTTP/1.1 200 OK\r\n\r\nabcd',
      'length and coding': 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
      'two lengths': 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde',
      'unknown coding': 'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabcd',
      'not HTTP': 'hello\r\n\r\n',
      'unrequested 100': 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab',
      'early hints': 'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab',
      'no content': 'HTTP/1.1 204 No Content\r\n\r\n',
      'not modified': 'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n',
      'more than stated': 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabcd'
    }
    const seen: Record<string, string> = {}
    for (const [name, response] of Object.entries(heads)) {
      sender.close()
      raw.response = response
      seen[name] = await send()
    }
    raw.response = 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n'
    seen.HEAD = await send({ method: 'HEAD', body: undefined })
    expectSnapshot(this, seen)
  })

  it('does not take surplus response data for the response to the next request', async () => {
    raw.response = `${RESPONSES.length}HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad`
    await send()
    raw.response = RESPONSES.length
    expect(await send()).to.equal('answer 200 8 bytes')
  })

  it('sends non-idempotent requests only on connections that worked recently', async () => {
    await send()
    clock.jumpMs(3_000)
    const old = await sender.send(raw.target, createRequest({ isIdempotent: true }), NEVER)
    await outcomeOf(old)
    clock.jumpMs(3_000)
    const fresh = await sender.send(raw.target, createRequest(), NEVER)
    expect([old.isFreshConnection, fresh.isFreshConnection]).to.deep.equal([false, true])
  })

  it('attributes a timeout to the connection when older ones are silent and a new one gets a response', async () => {
    await send()
    const whole = raw.response
    raw.response = ''
    const silent = sender.send(raw.target, createRequest({ headTimeoutMs: 5_000 }), NEVER)
    while (raw.heads < 2) await turn()
    clock.jumpMs(1_500)
    raw.response = whole
    const fresh = await sender.send(raw.target, createRequest(), NEVER)
    expect(await outcomeOf(fresh)).to.equal('answer 200 8 bytes')
    await clock.advanceMs(5_000)
    expect(await outcomeOf(await silent)).to.equal('may-have-run silent-connection')
  })

  it('attributes a timeout to the target when no newer connection got a response', async () => {
    await send()
    raw.response = ''
    const stalled = sender.send(raw.target, createRequest(), NEVER)
    while (raw.heads < 2) await turn()
    await clock.advanceMs(1_000)
    expect(await outcomeOf(await stalled)).to.equal('may-have-run timeout')
  })

  it('opens connections ahead of use and closes idle ones', async () => {
    await sender.warm(raw.target, 4)
    while (raw.sockets.size < 4) await turn()
    clock.jumpMs(10)
    sender.closeIdleConnections('t1', 5)
    while (raw.sockets.size > 0) await turn()
    expect(await send()).to.equal('answer 200 8 bytes')
  })

  it('reports not-run instead of throwing when no socket can be created for an address', async () => {
    const target = fakeTarget('t1', { port: 70_000 })
    expect(await outcomeOf(await sender.send(target, createRequest(), NEVER))).to.equal('not-run refused')
    expect(await sender.openIdle(target)).to.equal(false)
  })

  it('sends to the address at which a target is listed now, not to that of its earlier start', async () => {
    const next = await RawTarget.create()
    try {
      await send()
      sender.closeIdleConnections('t1', -1)
      await outcomeOf(await sender.send(next.target, createRequest(), NEVER))
      expect([raw.heads, next.heads]).to.deep.equal([1, 1])
    } finally {
      await next.close()
    }
  })
})
