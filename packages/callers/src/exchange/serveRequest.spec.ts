import { once } from 'node:events'
import { connect } from 'node:net'
import { Readable } from 'node:stream'
import { setImmediate as turn } from 'node:timers/promises'
import { expect } from 'chai'
import { Agent, request as send } from 'undici'
import { SystemClock } from '@lovagehoist/common'
import type { TargetResponse } from '@lovagehoist/common'
import { expectSnapshot } from '@lovagehoist/common/testing'
import { RequestHarness, targetResponse, targetFailure } from '../testing/requestHarness.js'
import type { AttemptScript } from '../testing/requestHarness.js'

const sendRaw = async (port: number, text: string): Promise<string> => {
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

describe('serveRequest', () => {
  let harness: RequestHarness
  let agent: Agent
  beforeEach(async () => {
    harness = await RequestHarness.create()
    agent = new Agent()
  })
  afterEach(async () => {
    expect(harness.breaches).to.deep.equal([])
    await agent.destroy()
    await harness.close()
  })

  const call = async (method: 'GET' | 'POST' | 'HEAD', path: string, headers: Record<string, string> = {}, body?: string) => {
    const answer = await send(`${harness.url}${path}`, { method, headers, body: body ?? null, dispatcher: agent })
    const text = await answer.body.text().catch(() => '[broken]')
    return { status: answer.statusCode, verdict: answer.headers['lovagehoist-verdict'], headers: answer.headers, text }
  }

  const inTurn = (...scripts: readonly AttemptScript[]): AttemptScript => async (...args) => await (scripts[harness.attempts.length - 1] ?? scripts[0] as AttemptScript)(...args)

  it('rejects malformed and smuggled requests before contacting a target', async function () {
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
    for (const [name, text] of Object.entries(texts)) seen[name] = summaryOf(await sendRaw(harness.port, text))
    expect(harness.attempts).to.deep.equal([])
    expectSnapshot(this, seen)
  })

  it('forwards end-to-end header fields, and none forged by a caller or target', async function () {
    const answer = targetResponse(['ok'], { headers: ['Content-Length', '2', 'Lovagehoist-Verdict', 'not-run', 'Connection', 'x-hop', 'X-Hop', '1', 'Set-Cookie', 'a', 'Set-Cookie', 'b'] })
    harness.script = () => answer
    const text = await sendRaw(harness.port, 'GET /read/x?q=1 HTTP/1.1\r\nHost: h\r\nConnection: close, x-secret\r\nX-Secret: 1\r\nTE: trailers\r\nVia: 1.0 edge\r\nX-Request-Id: r1\r\n' +
      'traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\ntracestate: a=b\r\nLovagehoist-Verdict: ran\r\nX-Forwarded-For: 9.9.9.9\r\nLovagehoist-Timeout-Ms: 5000\r\n\r\n')
    const sent = harness.attempts[0]?.request
    const headers = sent?.headers.map(field => /^[1-5]\d{3}$/.test(field) ? 'remaining' : field)
    expectSnapshot(this, { path: sent?.path, headers, answer: text.replace(/Date: .*\r\n/, '') })
  })

  it('creates a request id and a trace context when the caller sends no valid one', async () => {
    const { headers } = await call('GET', '/read/x', { traceparent: '00-0-0-00', 'x-request-id': 'a b' })
    const sent = harness.attempts[0]?.request.headers ?? []
    expect(sent[sent.indexOf('traceparent') + 1]).to.match(/^00-[0-9a-f]{32}-[0-9a-f]{16}-01$/)
    expect(headers['x-request-id']).to.match(/^[0-9a-f]{32}$/)
  })

  it('retries idempotent requests on other targets, and others only when they were provably not executed', async function () {
    const seen: Record<string, string> = {}
    const scripts: Readonly<Record<string, AttemptScript>> = {
      refused: () => targetFailure('refused', 'not-run'),
      reset: () => targetFailure('reset', 'may-have-run'),
      timeout: () => targetFailure('timeout', 'may-have-run'),
      shed: () => targetResponse(['no'], { status: 503, headers: ['x-shed', '1', 'content-length', '2', 'retry-after', '7'] }),
      'server error': () => targetResponse(['oops'], { status: 500 }),
      broken: () => targetResponse(['part', new Error('broke')], { headers: ['content-length', '9'] })
    }
    for (const [name, script] of Object.entries(scripts)) {
      for (const [method, path] of [['GET', '/read/x'], ['POST', '/pay/x']] as const) {
        await harness.close()
        harness = await RequestHarness.create()
        harness.script = inTurn(script, () => targetResponse(['hello']))
        const { status, verdict, text } = await call(method, path).catch(() => ({ status: 0, verdict: 'none', text: '[broken]' }))
        seen[`${method} ${name}`] = `${harness.attempts.map(({ target }) => `${target.id}${target.availabilityZone}`).join(',')}: ${status} ${String(verdict)} ${status === 200 ? text : ''}`
      }
    }
    expectSnapshot(this, seen)
  })

  it('returns the response of an earlier attempt when the last attempt has none', async () => {
    harness.script = inTurn(() => targetResponse(['oops'], { status: 500 }), () => targetFailure('reset', 'may-have-run'), () => targetFailure('timeout', 'may-have-run'))
    const { status, verdict, text } = await call('GET', '/read/x')
    expect([status, verdict, text, harness.attempts.length]).to.deep.equal([500, 'ran', 'oops', 3])
  })

  it('limits retries by attempts, by the budget, and while the pool sheds load', async () => {
    harness.script = () => targetFailure('reset', 'may-have-run')
    const counts: number[] = []
    for (let index = 0; index < 4; index++) {
      harness.attempts.length = 0
      await call('GET', '/read/x')
      counts.push(harness.attempts.length)
    }
    harness.isShedding = true
    harness.attempts.length = 0
    harness.script = () => targetFailure('refused', 'not-run')
    await call('GET', '/read/x')
    expect([...counts, harness.attempts.length]).to.deep.equal([3, 1, 1, 1, 1])
  })

  it('destroys the caller\'s connection when a streamed response fails, whatever the framing', async () => {
    for (const headers of [['content-length', '10'], ['transfer-encoding', 'chunked']]) {
      harness.script = () => targetResponse(['12345', new Error('broke')], { headers })
      const text = await sendRaw(harness.port, 'POST /pay/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n')
      expect(text).to.match(headers[1] === '10' ? /\r\n\r\n12345$/ : /\r\n\r\n5\r\n12345\r\n$/)
    }
  })

  it('gives a response without a length its own where it is buffered and chunks where it streams, and leaves other framing as it is', async () => {
    const long = 'x'.repeat(5_000)
    const cases: Readonly<Record<string, readonly [method: 'GET' | 'HEAD', response: () => TargetResponse, lines: readonly string[], end: string]>> = {
      buffered: ['GET', () => targetResponse(['hello'], { headers: [] }), ['content-length: 5'], '\r\n\r\nhello'],
      empty: ['GET', () => targetResponse([], { headers: [] }), ['content-length: 0'], '\r\n\r\n'],
      streaming: ['GET', () => targetResponse([long], { headers: [] }), ['transfer-encoding: chunked'], `\r\n1388\r\n${long}\r\n0\r\n\r\n`],
      broken: ['GET', () => targetResponse([long, new Error('broke')], { headers: [] }), ['transfer-encoding: chunked'], `\r\n1388\r\n${long}\r\n`],
      trailers: ['GET', () => targetResponse(['hello'], { headers: ['transfer-encoding', 'chunked'], trailers: () => ['x-check', '1'] }), ['transfer-encoding: chunked'], '\r\n5\r\nhello\r\n0\r\nx-check: 1\r\n\r\n'],
      head: ['HEAD', () => targetResponse([], { headers: [] }), [], '\r\n\r\n'],
      'head with a length': ['HEAD', () => targetResponse([], { headers: ['content-length', '9'] }), ['content-length: 9'], '\r\n\r\n'],
      'no content': ['GET', () => targetResponse([], { status: 204, headers: [] }), [], '\r\n\r\n'],
      'not modified': ['GET', () => targetResponse([], { status: 304, headers: [] }), [], '\r\n\r\n']
    }
    for (const [name, [method, response, lines, end]] of Object.entries(cases)) {
      harness.script = response
      const text = await sendRaw(harness.port, `${method} /read/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`)
      const framing = text.split('\r\n\r\n')[0]?.split('\r\n').filter(line => /^(content-length|transfer-encoding):/i.test(line)).map(line => line.toLowerCase())
      expect([name, framing, text.replace('[reset]', '').endsWith(end)]).to.deep.equal([name, lines, true])
    }
  })

  it('delivers every byte value', async () => {
    const bytes = Buffer.from(Array.from({ length: 256 }, (_, value) => value))
    harness.script = () => targetResponse([], { headers: ['content-length', '256'], body: Readable.from([bytes], { objectMode: false }) })
    const answer = await send(`${harness.url}/read/x`, { dispatcher: agent })
    expect(Buffer.from(await answer.body.arrayBuffer()).equals(bytes)).to.equal(true)
  })

  it('streams long responses, in order on one connection', async () => {
    const long = 'x'.repeat(5_000)
    harness.script = () => targetResponse([long, long, 'end'])
    expect((await call('GET', '/read/x')).text).to.equal(`${long}${long}end`)
    harness.script = () => targetResponse([long], { headers: ['transfer-encoding', 'chunked'], trailers: () => ['x-check', '1'] })
    expect((await call('POST', '/pay/x')).text).to.equal(long)
    expect(harness.reservedSlots).to.equal(0)
  })

  it('cancels idempotent requests of disconnected callers and lets others finish, without a retry', async () => {
    const isAborted: Record<string, boolean> = {}
    for (const [method, path] of [['GET', '/read/x'], ['POST', '/pay/x']] as const) {
      const started = new Promise<AbortSignal>(resolve => {
        harness.script = async (_target, _request, signal) => {
          resolve(signal)
          await (method === 'GET' ? once(signal, 'abort') : closed)
          return targetFailure(method === 'GET' ? 'cancelled' : 'reset', 'may-have-run')
        }
      })
      const socket = connect(harness.port, '127.0.0.1')
      socket.write(`${method} ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n`)
      const closed = once(socket, 'close')
      const signal = await started
      socket.destroy()
      if (method === 'GET') await once(signal, 'abort')
      await closed
      while (harness.reservedSlots > 0) await turn()
      isAborted[method] = signal.aborted
    }
    expect(isAborted).to.deep.equal({ GET: true, POST: false })
    expect(harness.attempts).to.have.length(2)
  })

  it('replays the response to a request with an idempotency key, and does not send after a pause beyond the claim\'s send limit', async () => {
    let pausedMs = 0
    const clock = SystemClock.create()
    await harness.close()
    harness = await RequestHarness.create({ clock: { ...clock, monotonicMs: () => clock.monotonicMs() + pausedMs } })
    harness.beforePick = () => { pausedMs += 11_000 }
    const paused = await call('POST', '/keyed', { 'idempotency-key': 'k' }, 'body')
    expect([paused.status, paused.verdict, harness.attempts.length]).to.deep.equal([504, 'not-run', 0])
    harness.beforePick = () => {}
    await harness.idempotencyGuard.settled()
    const first = await call('POST', '/keyed', { 'idempotency-key': 'k' }, 'body')
    await harness.idempotencyGuard.settled()
    const again = await call('POST', '/keyed', { 'idempotency-key': 'k' }, 'body')
    expect([first.text, again.text, again.headers['idempotent-replayed'], harness.attempts.length]).to.deep.equal(['hello', 'hello', 'true', 1])
  })

  it('releases the slot of a streamed response when the caller disconnects midway', async () => {
    const endless = new Readable({ read () { this.push(Buffer.alloc(1_000)) } })
    harness.script = () => targetResponse([], { headers: ['transfer-encoding', 'chunked'], body: endless })
    const socket = connect(harness.port, '127.0.0.1')
    socket.write('POST /pay/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n')
    await once(socket, 'data')
    socket.destroy()
    await once(endless, 'close')
    expect(harness.reservedSlots).to.equal(0)
  })

  it('rejects quarantined requests and marks draining targets as leaving', async () => {
    harness.script = () => targetResponse(['ok'], { headers: ['content-length', '2', 'x-leaving', '1'] })
    await call('GET', '/read/x')
    harness.quarantined.add(harness.reports[0]?.fingerprint ?? '')
    const { status, verdict } = await call('GET', '/read/x')
    expect([harness.leavingTargetIds, harness.attempts.length, status, verdict]).to.deep.equal([['t0'], 1, 503, 'not-run'])
  })
})
