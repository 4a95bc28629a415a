import { once } from 'node:events'
import { connect } from 'node:net'
import { Readable } from 'node:stream'
import { setImmediate as turn } from 'node:timers/promises'
import { expect } from 'chai'
import { Agent, request as send } from 'undici'
import { SystemClock } from '@lovagehoist/common'
import { expectSnapshot } from '@lovagehoist/common/testing'
import { RequestBench, answerOf, failureOf } from '../testing/requestBench.js'
import type { TryScript } from '../testing/requestBench.js'

const raw = async (port: number, text: string): Promise<string> => {
  const socket = connect(port, '127.0.0.1')
  let answer = ''
  socket.on('data', data => { answer += data.toString('latin1') }).on('error', () => { answer += '[reset]' })
  socket.write(text, 'latin1')
  await once(socket, 'close')
  return answer
}

const summaryOf = (answer: string): string => {
  const status = /^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 'none'
  return `${status} ${/lovagehoist-verdict: (\S+)/i.exec(answer)?.[1] ?? 'no verdict'}`
}

describe('serving requests', () => {
  let bench: RequestBench
  let agent: Agent
  beforeEach(async () => {
    bench = await RequestBench.create()
    agent = new Agent()
  })
  afterEach(async () => {
    expect(bench.breaches).to.deep.equal([])
    await agent.destroy()
    await bench.close()
  })

  const call = async (method: 'GET' | 'POST' | 'HEAD', path: string, headers: Record<string, string> = {}, body?: string) => {
    const answer = await send(`${bench.url}${path}`, { method, headers, body: body ?? null, dispatcher: agent })
    const text = await answer.body.text().catch(() => '[broken]')
    return { status: answer.statusCode, verdict: answer.headers['lovagehoist-verdict'], headers: answer.headers, text }
  }

  const inTurn = (...scripts: readonly TryScript[]): TryScript => async (...args) => await (scripts[bench.tries.length - 1] ?? scripts[0] as TryScript)(...args)

  it('refuses malformed and smuggled requests before any target', async function () {
    const host = 'Host: x\r\nConnection: close\r\n'
    const texts: Readonly<Record<string, string>> = {
      'no HTTP': 'hello\r\n\r\n',
      'old version': 'GET /read/x HTTP/1.0\r\nHost: x\r\n\r\n',
      'no host': 'GET /read/x HTTP/1.1\r\nConnection: close\r\n\r\n',
      'two hosts': `GET /read/x HTTP/1.1\r\nHost: y\r\n${host}\r\n`,
      'length and coding': `POST /pay/x HTTP/1.1\r\n${host}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
      'two lengths': `POST /pay/x HTTP/1.1\r\n${host}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
      'signed length': `POST /pay/x HTTP/1.1\r\n${host}Content-Length: +4\r\n\r\nabcd`,
      'unknown coding': `POST /pay/x HTTP/1.1\r\n${host}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
      'coding after chunked': `POST /pay/x HTTP/1.1\r\n${host}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n`,
      'bad chunk': `POST /pay/x HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
      'folded field': `GET /read/x HTTP/1.1\r\n${host}A: b\r\n c\r\n\r\n`,
      'space before colon': `GET /read/x HTTP/1.1\r\n${host}A : b\r\n\r\n`,
      'absolute form': `GET http://other/read/x HTTP/1.1\r\n${host}\r\n`,
      'two slashes': `GET //other/read/x HTTP/1.1\r\n${host}\r\n`,
      'dot segment': `GET /read/../pay/x HTTP/1.1\r\n${host}\r\n`,
      'encoded dot segment': `GET /read/%2e%2E/pay/x HTTP/1.1\r\n${host}\r\n`,
      'bad encoding': `GET /read/%zz HTTP/1.1\r\n${host}\r\n`,
      backslash: `GET /read\\x HTTP/1.1\r\n${host}\r\n`,
      connect: `CONNECT other:443 HTTP/1.1\r\n${host}\r\n`,
      upgrade: 'GET /read/x HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n',
      expectation: `GET /read/x HTTP/1.1\r\n${host}Expect: miracles\r\n\r\n`,
      'large head': `GET /read/x HTTP/1.1\r\n${host}A: ${'a'.repeat(5_000)}\r\n\r\n`,
      'large body': `POST /pay/x HTTP/1.1\r\n${host}Content-Length: 1001\r\n\r\n`,
      'endless body': `POST /pay/x HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n${`200\r\n${'a'.repeat(512)}\r\n`.repeat(8)}`,
      'malformed deadline': `GET /read/x HTTP/1.1\r\n${host}Lovagehoist-Timeout-Ms: soon\r\n\r\n`,
      'deadline passed': `GET /read/x HTTP/1.1\r\n${host}Lovagehoist-Timeout-Ms: 0\r\n\r\n`,
      'long key': `POST /keyed HTTP/1.1\r\n${host}Idempotency-Key: ${'k'.repeat(256)}\r\nContent-Length: 0\r\n\r\n`,
      'unknown route': `GET /none HTTP/1.1\r\n${host}\r\n`
    }
    const seen: Record<string, string> = {}
    for (const [name, text] of Object.entries(texts)) seen[name] = summaryOf(await raw(bench.port, text))
    expect(bench.tries).to.deep.equal([])
    expectSnapshot(this, seen)
  })

  it('passes on what a proxy passes on, and nothing that a caller or target forged', async function () {
    const answer = answerOf(['ok'], { headers: ['Content-Length', '2', 'Lovagehoist-Verdict', 'not-run', 'Connection', 'x-hop', 'X-Hop', '1', 'Set-Cookie', 'a', 'Set-Cookie', 'b'] })
    bench.script = () => answer
    const text = await raw(bench.port, 'GET /read/x?q=1 HTTP/1.1\r\nHost: h\r\nConnection: close, x-secret\r\nX-Secret: 1\r\nTE: trailers\r\nVia: 1.0 edge\r\nX-Request-Id: r1\r\n' +
      'traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\ntracestate: a=b\r\nLovagehoist-Verdict: ran\r\nX-Forwarded-For: 9.9.9.9\r\nLovagehoist-Timeout-Ms: 5000\r\n\r\n')
    const sent = bench.tries[0]?.request
    const headers = sent?.headers.map(field => /^[1-5]\d{3}$/.test(field) ? 'remaining' : field)
    expectSnapshot(this, { path: sent?.path, headers, answer: text.replace(/Date: .*\r\n/, '') })
  })

  it('creates a request id and a trace context when the caller gives none that is usable', async () => {
    const { headers } = await call('GET', '/read/x', { traceparent: '00-0-0-00', 'x-request-id': 'a b' })
    const sent = bench.tries[0]?.request.headers ?? []
    expect(sent[sent.indexOf('traceparent') + 1]).to.match(/^00-[0-9a-f]{32}-[0-9a-f]{16}-01$/)
    expect(headers['x-request-id']).to.match(/^[0-9a-f]{32}$/)
  })

  it('repeats idempotent requests elsewhere, and others only when they were proven not run', async function () {
    const seen: Record<string, string> = {}
    const scripts: Readonly<Record<string, TryScript>> = {
      refused: () => failureOf('refused', 'not-run'),
      reset: () => failureOf('reset', 'may-have-run'),
      timeout: () => failureOf('timeout', 'may-have-run'),
      shed: () => answerOf(['no'], { status: 503, headers: ['x-shed', '1', 'content-length', '2', 'retry-after', '7'] }),
      'server error': () => answerOf(['oops'], { status: 500 }),
      broken: () => answerOf(['part', new Error('broke')], { headers: ['content-length', '9'] })
    }
    for (const [name, script] of Object.entries(scripts)) {
      for (const [method, path] of [['GET', '/read/x'], ['POST', '/pay/x']] as const) {
        await bench.close()
        bench = await RequestBench.create()
        bench.script = inTurn(script, () => answerOf(['hello']))
        const { status, verdict, text } = await call(method, path).catch(() => ({ status: 0, verdict: 'none', text: '[broken]' }))
        seen[`${method} ${name}`] = `${bench.tries.map(({ target }) => `${target.id}${target.availabilityZone}`).join(',')}: ${status} ${String(verdict)} ${status === 200 ? text : ''}`
      }
    }
    expectSnapshot(this, seen)
  })

  it('passes the answer of an earlier try on when the last try has none', async () => {
    bench.script = inTurn(() => answerOf(['oops'], { status: 500 }), () => failureOf('reset', 'may-have-run'), () => failureOf('timeout', 'may-have-run'))
    const { status, verdict, text } = await call('GET', '/read/x')
    expect([status, verdict, text, bench.tries.length]).to.deep.equal([500, 'ran', 'oops', 3])
  })

  it('bounds retries by tries, budget and a shedding pool', async () => {
    bench.script = () => failureOf('reset', 'may-have-run')
    const counts: number[] = []
    for (let index = 0; index < 4; index++) {
      bench.tries.length = 0
      await call('GET', '/read/x')
      counts.push(bench.tries.length)
    }
    bench.isShedding = true
    bench.tries.length = 0
    bench.script = () => failureOf('refused', 'not-run')
    await call('GET', '/read/x')
    expect([...counts, bench.tries.length]).to.deep.equal([3, 1, 1, 1, 1])
  })

  it('breaks the caller off when a streamed answer breaks, whatever the framing', async () => {
    for (const headers of [['content-length', '10'], ['transfer-encoding', 'chunked']]) {
      bench.script = () => answerOf(['12345', new Error('broke')], { headers })
      const text = await raw(bench.port, 'POST /pay/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n')
      expect(text).to.match(headers[1] === '10' ? /\r\n\r\n12345$/ : /\r\n\r\n5\r\n12345\r\n$/)
    }
  })

  it('delivers every byte value', async () => {
    const bytes = Buffer.from(Array.from({ length: 256 }, (_, value) => value))
    bench.script = () => answerOf([], { headers: ['content-length', '256'], body: Readable.from([bytes], { objectMode: false }) })
    const answer = await send(`${bench.url}/read/x`, { dispatcher: agent })
    expect(Buffer.from(await answer.body.arrayBuffer()).equals(bytes)).to.equal(true)
  })

  it('streams long answers and answers each in order on one connection', async () => {
    const long = 'x'.repeat(5_000)
    bench.script = () => answerOf([long, long, 'end'])
    expect((await call('GET', '/read/x')).text).to.equal(`${long}${long}end`)
    bench.script = () => answerOf([long], { headers: ['transfer-encoding', 'chunked'], trailers: () => ['x-check', '1'] })
    expect((await call('POST', '/pay/x')).text).to.equal(long)
    expect(bench.slots).to.equal(0)
  })

  it('cancels idempotent work of a caller that is gone and lets other work end, without a retry', async () => {
    const gone: Record<string, boolean> = {}
    for (const [method, path] of [['GET', '/read/x'], ['POST', '/pay/x']] as const) {
      const started = new Promise<AbortSignal>(resolve => {
        bench.script = async (_target, _request, signal) => {
          resolve(signal)
          await (method === 'GET' ? once(signal, 'abort') : closed)
          return failureOf(method === 'GET' ? 'cancelled' : 'reset', 'may-have-run')
        }
      })
      const socket = connect(bench.port, '127.0.0.1')
      socket.write(`${method} ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n`)
      const closed = once(socket, 'close')
      const signal = await started
      socket.destroy()
      if (method === 'GET') await once(signal, 'abort')
      await closed
      while (bench.slots > 0) await turn()
      gone[method] = signal.aborted
    }
    expect(gone).to.deep.equal({ GET: true, POST: false })
    expect(bench.tries).to.have.length(2)
  })

  it('replays a keyed answer, and does not send after a pause beyond the fence', async () => {
    let pausedMs = 0
    const clock = SystemClock.create()
    await bench.close()
    bench = await RequestBench.create({ clock: { ...clock, monotonicMs: () => clock.monotonicMs() + pausedMs } })
    bench.beforePick = () => { pausedMs += 11_000 }
    const paused = await call('POST', '/keyed', { 'idempotency-key': 'k' }, 'body')
    expect([paused.status, paused.verdict, bench.tries.length]).to.deep.equal([504, 'not-run', 0])
    bench.beforePick = () => {}
    await bench.keys.settled()
    const first = await call('POST', '/keyed', { 'idempotency-key': 'k' }, 'body')
    await bench.keys.settled()
    const again = await call('POST', '/keyed', { 'idempotency-key': 'k' }, 'body')
    expect([first.text, again.text, again.headers['idempotent-replayed'], bench.tries.length]).to.deep.equal(['hello', 'hello', 'true', 1])
  })

  it('frees the slot of a streamed answer whose caller leaves in the middle', async () => {
    const endless = new Readable({ read () { this.push(Buffer.alloc(1_000)) } })
    bench.script = () => answerOf([], { headers: ['transfer-encoding', 'chunked'], body: endless })
    const socket = connect(bench.port, '127.0.0.1')
    socket.write('POST /pay/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n')
    await once(socket, 'data')
    socket.destroy()
    await once(endless, 'close')
    expect(bench.slots).to.equal(0)
  })

  it('stops quarantined requests and marks leaving targets', async () => {
    bench.script = () => answerOf(['ok'], { headers: ['content-length', '2', 'x-leaving', '1'] })
    await call('GET', '/read/x')
    bench.quarantined.add(bench.reports[0]?.fingerprint ?? '')
    const { status, verdict } = await call('GET', '/read/x')
    expect([bench.left, bench.tries.length, status, verdict]).to.deep.equal([['t0'], 1, 503, 'not-run'])
  })
})
