import { expect } from 'chai'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { GatewayFleet, HOST_NAME } from './gatewayFleet.js'

/** Memory limit with a buffer capacity of 10 MiB. */
const MEMORY_MB = 170
const CAPACITY_BYTES = 10_485_760
const RESPONSE_BYTES = 1_000_000
/** More than the socket buffers of both sides hold, so that the daemon has to hold the responses behind it. */
const FILLING_BYTES = 12_000_000
const STUCK_CALLERS = 5
const STUCK_REQUESTS = 4
/** Makes a body longer than what a daemon buffers before it passes a response on. */
const STREAMED_REPEATS = 250_000
const UPLOAD_BYTES = 360_000
const PAUSE_MS = 100

/** A caller's connection that records what it receives. */
class RawCaller {
  text = ''

  private constructor (readonly socket: Socket) {
    socket.on('data', data => { this.text += data.toString('latin1') }).on('error', () => { this.text += 'RESET' })
  }

  static async create (fleet: GatewayFleet): Promise<RawCaller> {
    const { host = '', port = 0 } = fleet.daemons[0]?.callerAddress ?? {}
    const socket = connect(port, host)
    await once(socket, 'connect')
    return new RawCaller(socket)
  }

  send (method: string, path: string, { id, version = '1.1', body = '', fields = [] }: { readonly id: string, readonly version?: '1.0' | '1.1', readonly body?: string | Buffer, readonly fields?: readonly string[] }): void {
    const length = fields.some(field => /^(content-length|transfer-encoding)/i.test(field)) || body.length === 0 ? [] : [`Content-Length: ${body.length}`]
    const head = [`${method} ${path} HTTP/${version}`, `Host: ${HOST_NAME}`, `${PLATFORM_HEADERS.requestId}: ${id}`, ...length, ...fields]
    this.socket.write(`${head.join('\r\n')}\r\n\r\n`)
    if (body.length > 0) this.socket.write(body)
  }
}

describe('callers that read or send slowly, end to end', () => {
  let fleet: GatewayFleet
  const callers: RawCaller[] = []

  const caller = async (): Promise<RawCaller> => {
    const created = await RawCaller.create(fleet)
    callers.push(created)
    return created
  }
  const runsOf = (requestId: string): number => fleet.runs().filter(run => run.requestId === requestId).length

  before(async () => {
    fleet = await GatewayFleet.create()
    fleet.memoryMb = MEMORY_MB
    fleet.maxBodyBytes = 64_000_000
    fleet.configure([{ prefix: '/get/', kind: 'download', service: 's' }, { prefix: '/put/', kind: 'upload', service: 's' }])
    await fleet.addTarget('t1', 's')
    await fleet.addTarget('t2', 's')
    await fleet.addDaemon()
  })

  afterEach(() => {
    for (const { socket } of callers.splice(0)) socket.destroy()
    for (const target of fleet.targets.values()) {
      target.responseMode = 'well'
      target.responseBodyFor = () => `from ${target.id}`
      target.workMs = 2
    }
  })

  after(async () => { await fleet.close() })

  it('refuses an upload that never fits as not run, before it is read, and the caller gets the refusal', async () => {
    const raw = await caller()
    raw.send('POST', '/put/large', { id: 'large', body: Buffer.alloc(CAPACITY_BYTES * 3 / 4 + 1) })
    await fleet.waitUntil(() => raw.socket.destroyed)
    expect(raw.text).to.match(/^HTTP\/1\.1 503/).and.to.match(/retry-after: \d/i).and.to.include('not-run')
    expect(raw.text).not.to.include('RESET')
    expect(runsOf('large')).to.equal(0)
  })

  it('does not ask for the body of an upload that it refuses (Expect: 100-continue)', async () => {
    const raw = await caller()
    raw.send('POST', '/put/asked', { id: 'asked', fields: [`Content-Length: ${CAPACITY_BYTES + 1}`, 'Expect: 100-continue'] })
    await fleet.waitUntil(() => raw.socket.destroyed)
    expect(raw.text).to.match(/^HTTP\/1\.1 503/)
    const accepted = await caller()
    accepted.send('POST', '/put/accepted', { id: 'accepted', fields: ['Content-Length: 3', 'Expect: 100-continue'] })
    await fleet.waitUntil(() => accepted.text.startsWith('HTTP/1.1 100 Continue'))
    accepted.socket.write('abc')
    await fleet.waitUntil(() => accepted.text.includes('HTTP/1.1 200'))
    expect(runsOf('accepted')).to.equal(1)
  })

  it('serves others while callers leave more unread than the daemon may hold', async () => {
    const lengthOf = (id: string): number => id.startsWith('fill') ? FILLING_BYTES : id.startsWith('stuck') ? RESPONSE_BYTES : 1
    for (const target of fleet.targets.values()) target.responseBodyFor = id => 'x'.repeat(lengthOf(id))
    for (let index = 0; index < STUCK_CALLERS; index++) {
      const raw = await caller()
      raw.socket.pause()
      raw.send('GET', '/get/x', { id: `fill-${index}` })
      for (let part = 1; part < STUCK_REQUESTS; part++) raw.send('GET', '/get/x', { id: `stuck-${index}-${part}` })
    }
    const isStuck = ({ requestId }: { readonly requestId: string }): boolean => /^(fill|stuck)/.test(requestId)
    await fleet.waitUntil(() => fleet.runs().filter(isStuck).length === STUCK_CALLERS * STUCK_REQUESTS)
    await fleet.clock.sleepMs(5 * PAUSE_MS)
    for (let index = 0; index < 20; index++) {
      expect(await fleet.call({ path: '/get/y', requestId: `other-${index}` })).to.include({ status: 200, body: 'x' })
      const upload = await fleet.call({ path: '/put/y', method: 'POST', body: 'u'.repeat(UPLOAD_BYTES), requestId: `upload-${index}` })
      expect(upload.status).to.equal(200)
    }
    expect(fleet.logLines.filter(({ message }) => message === 'invariant breached')).to.deep.equal([])
  })

  it('ends a request whose body does not arrive in time as not run, and frees its room', async () => {
    const raw = await caller()
    raw.send('POST', '/put/slow', { id: 'slow', fields: ['Content-Length: 1000', `${PLATFORM_HEADERS.deadline}: 600`] })
    for (let sent = 0; sent < 10 && !raw.text.includes('HTTP/1.1'); sent++) {
      raw.socket.write('x')
      await fleet.clock.sleepMs(PAUSE_MS)
    }
    expect(raw.text).to.match(/^HTTP\/1\.1 408/).and.to.include('not-run')
    expect(runsOf('slow')).to.equal(0)
  })

  it('makes uploads wait for room by size, and refuses in time what gets none', async () => {
    for (const target of fleet.targets.values()) target.workMs = 1_000
    const holder = await caller()
    holder.send('POST', '/put/h', { id: 'holder', body: Buffer.alloc(CAPACITY_BYTES * 3 / 4) })
    await fleet.waitUntil(() => runsOf('holder') === 1)
    const large = await caller()
    large.send('POST', '/put/l', { id: 'waiting', body: Buffer.alloc(CAPACITY_BYTES / 2) })
    expect((await fleet.call({ path: '/put/s', method: 'POST', body: 'small' })).status).to.equal(200)
    await fleet.waitUntil(() => large.text.includes('HTTP/1.1'))
    expect(large.text).to.match(/^HTTP\/1\.1 503/)
    expect(runsOf('waiting')).to.equal(0)
    await fleet.waitUntil(() => holder.text.includes('HTTP/1.1 200'))
    for (const target of fleet.targets.values()) target.workMs = 2
    const again = await caller()
    again.send('POST', '/put/l', { id: 'again', body: Buffer.alloc(CAPACITY_BYTES / 2) })
    await fleet.waitUntil(() => again.text.includes('HTTP/1.1 200'))
  })

  for (const [name, { version, responseMode }] of Object.entries({
    'closes the connection': { version: '1.0', responseMode: 'unframed' },
    'breaks off': { version: '1.1', responseMode: 'unframed-reset' }
  } as const)) {
    it(`does not run an upload behind a response that ${name}`, async () => {
      for (const target of fleet.targets.values()) Object.assign(target, { responseMode, unframedBody: 'unframed'.repeat(STREAMED_REPEATS), workMs: 200 })
      const raw = await caller()
      raw.send('GET', '/get/first', { id: 'first', version, fields: ['Connection: keep-alive'] })
      raw.send('POST', '/put/behind', { id: `behind-${responseMode}`, body: 'b' })
      await fleet.waitUntil(() => raw.socket.destroyed)
      await fleet.clock.sleepMs(3 * PAUSE_MS)
      expect(raw.text.match(/HTTP\/1\.1/g)).to.have.length(1)
      expect(raw.text).to.include('unframed')
      expect(runsOf(`behind-${responseMode}`)).to.equal(0)
    })
  }
})
