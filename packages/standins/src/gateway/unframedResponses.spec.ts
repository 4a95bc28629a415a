import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { SeededRandom, SystemClock } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { HOST_NAME as SOAK_HOST_NAME } from '../soak/gateway/soakConfig.js'
import { SoakFleet } from '../soak/gateway/soakFleet.js'
import { GatewayFleet, HOST_NAME } from './gatewayFleet.js'
import type { GatewayTarget } from './gatewayTarget.js'

/** More than a daemon buffers before it passes a response on. */
const LONG_BODY = 'x'.repeat(2_000_000)
/** Longer than any response is read here: its target never ends it. */
const NO_END_MS = 60_000
const PIPELINED = 8
const HEAD_END = '\r\n\r\n'
const LAST_CHUNK = '\r\n0\r\n\r\n'
const POLL_INTERVAL_MS = 10
const WAIT_TIMEOUT_MS = 20_000

/** A caller's connection that records what it receives. */
class RawCaller {
  text = ''
  isClosed = false
  private isReset = false
  private readonly clock = SystemClock.create()

  private constructor (private readonly socket: Socket) {
    socket.on('data', data => { this.text += data.toString('latin1') })
    socket.on('error', () => { this.isReset = true })
    // If data and a reset are read at once, Node.js reports an orderly end; a connection that was reset has no peer address any more.
    socket.once('end', () => { this.isReset ||= socket.remoteAddress === undefined })
    socket.once('close', () => { this.isClosed = true })
  }

  static async create (host: string, port: number): Promise<RawCaller> {
    const socket = connect({ host, port })
    await once(socket, 'connect')
    return new RawCaller(socket)
  }

  /** Sends requests at once. */
  send (paths: readonly string[], { version = '1.1', host = HOST_NAME }: { readonly version?: '1.0' | '1.1', readonly host?: string } = {}): void {
    this.socket.write(paths.map(path => `GET ${path} HTTP/${version}\r\nHost: ${host}\r\n${PLATFORM_HEADERS.requestId}: id-${path}\r\n${PLATFORM_HEADERS.deadline}: 8000\r\n\r\n`).join(''))
  }

  /** Head of the first response. */
  get head (): string {
    return this.text.split(HEAD_END)[0] ?? ''
  }

  /** How the end of the only response on this connection is marked. */
  get framing (): 'chunked' | 'length' | 'none' {
    if (/^transfer-encoding: chunked$/im.test(this.head)) return 'chunked'
    return /^content-length:/im.test(this.head) ? 'length' : 'none'
  }

  /** Body of the only response on this connection, without the lines that frame chunks. */
  get body (): string {
    const body = this.text.slice(this.head.length + HEAD_END.length)
    return this.framing === 'chunked' ? body.replaceAll(/(^|\r\n)[0-9a-f]+\r\n/g, '').replace(/\r\n$/, '') : body
  }

  /** Whether the only response on this connection is complete as far as a caller can tell. */
  get isComplete (): boolean {
    if (this.framing === 'chunked') return this.text.endsWith(LAST_CHUNK)
    if (this.framing === 'none') return this.isClosed && !this.isReset
    return this.body.length === Number(/^content-length: (\d+)$/im.exec(this.head)?.[1])
  }

  async waitUntil (isMet: () => boolean): Promise<void> {
    for (let waitedMs = 0; !isMet(); waitedMs += POLL_INTERVAL_MS) {
      if (waitedMs > WAIT_TIMEOUT_MS) throw new Error(`condition not met in time, received ${this.text.length} bytes`)
      await this.clock.sleepMs(POLL_INTERVAL_MS)
    }
  }

  destroy (): void {
    this.socket.destroy()
  }
}

describe('responses without a length from a target', () => {
  let fleet: GatewayFleet
  let target: GatewayTarget
  let callers: RawCaller[]

  const openCaller = async (): Promise<RawCaller> => {
    const { host = '', port = 0 } = fleet.daemons[0]?.callerAddress ?? {}
    const caller = await RawCaller.create(host, port)
    callers.push(caller)
    return caller
  }

  const sendLongBody = (endDelayMs?: number): void => {
    target.unframedBody = LONG_BODY
    if (endDelayMs !== undefined) target.unframedEndDelayMs = endDelayMs
  }

  /** Requests a response whose target does not end it, and waits until all that was sent of it has arrived. */
  const receiveUnended = async (version: '1.0' | '1.1'): Promise<RawCaller> => {
    sendLongBody(NO_END_MS)
    const caller = await openCaller()
    caller.send(['/p/x'], { version })
    await caller.waitUntil(() => caller.text.length > LONG_BODY.length)
    return caller
  }

  beforeEach(async () => {
    callers = []
    fleet = await GatewayFleet.create()
    fleet.hasCuttableLinks = true
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 'unframed', timeoutMs: 20_000 }, { prefix: '/q/', kind: 'safe', service: 'framed' }])
    target = await fleet.addTarget('t1', 'unframed')
    target.responseMode = 'unframed'
    const framed = await fleet.addTarget('t2', 'framed')
    framed.workMs = 300
    await fleet.addDaemon()
  })

  afterEach(async () => {
    for (const caller of callers) caller.destroy()
    await fleet.close()
  })

  it('do not cost the requests behind them on the connection their responses, once these have been passed on', async () => {
    const caller = await openCaller()
    caller.send(['/p/0', ...Array.from({ length: PIPELINED - 1 }, (_, index) => `/q/${index + 1}`)])
    await caller.waitUntil(() => caller.isClosed || caller.text.split('HTTP/1.1 200').length > PIPELINED)
    const answered = [...caller.text.matchAll(new RegExp(`^${PLATFORM_HEADERS.requestId}: (\\S+)`, 'gim'))].map(([, id]) => id)
    expect(answered).to.deep.equal(['id-/p/0', ...Array.from({ length: PIPELINED - 1 }, (_, index) => `id-/q/${index + 1}`)])
    expect(caller.isClosed).to.equal(false)
  })

  it('get their length where all of them is buffered, for callers of HTTP/1.0 too', async () => {
    for (const version of ['1.1', '1.0'] as const) {
      const caller = await openCaller()
      caller.send(['/p/x'], { version })
      await caller.waitUntil(() => caller.isClosed || caller.isComplete)
      expect([caller.framing, caller.body]).to.deep.equal(['length', 'unframed'])
      if (version === '1.1') expect(caller.isClosed).to.equal(false)
    }
  })

  it('are sent in chunks where they are passed on as they arrive, and end with their connection for callers of HTTP/1.0', async () => {
    sendLongBody()
    const caller = await openCaller()
    caller.send(['/p/x'])
    await caller.waitUntil(() => caller.isClosed || caller.isComplete)
    expect([caller.framing, caller.isComplete, caller.isClosed, caller.body === LONG_BODY]).to.deep.equal(['chunked', true, false, true])
    const oldCaller = await openCaller()
    oldCaller.send(['/p/x'], { version: '1.0' })
    await oldCaller.waitUntil(() => oldCaller.isClosed)
    expect([oldCaller.framing, oldCaller.isComplete, oldCaller.body === LONG_BODY]).to.deep.equal(['none', true, true])
  })

  for (const version of ['1.0', '1.1'] as const) {
    it(`do not look complete when a shutdown cuts them off (HTTP/${version})`, async () => {
      const caller = await receiveUnended(version)
      const [stopped] = fleet.daemons.splice(0)
      await stopped?.daemon.stop()
      await stopped?.links.close()
      await caller.waitUntil(() => caller.isClosed)
      expect([caller.head.split('\r\n')[0], caller.isComplete]).to.deep.equal(['HTTP/1.1 200 OK', false])
    })

    it(`do not look complete when their target resets them midway (HTTP/${version})`, async () => {
      target.responseMode = 'unframed-reset'
      sendLongBody()
      const caller = await openCaller()
      caller.send(['/p/x'], { version })
      await caller.waitUntil(() => caller.isClosed)
      expect([caller.head.split('\r\n')[0], caller.isComplete]).to.deep.equal(['HTTP/1.1 200 OK', false])
    })
  }

  it('do not look complete when the daemon that they are forwarded through is shut down', async () => {
    await fleet.addDaemon()
    fleet.daemons[0]?.links.cut('reset')
    for (let index = 0; index < 2; index++) await fleet.call({ path: '/q/x' })
    await fleet.waitUntil(() => fleet.logLines.some(({ message, state }) => message === 'path to targets changed' && state === 'cut'))
    const caller = await receiveUnended('1.1')
    for (const { daemon, links } of fleet.daemons.splice(1)) {
      await daemon.stop()
      await links.close()
    }
    await caller.waitUntil(() => caller.isClosed)
    expect(fleet.logLines.some(({ message, requestId, result }) => message === 'forwarded to another daemon' && requestId === 'id-/p/x' && result === 'answer')).to.equal(true)
    expect([caller.head.split('\r\n')[0], caller.isComplete]).to.deep.equal(['HTTP/1.1 200 OK', false])
  })
})

describe('responses without a length, when the process that passes them on is killed', () => {
  let fleet: SoakFleet

  beforeEach(async () => {
    fleet = await SoakFleet.create(SeededRandom.create(1), { instances: 1, targetsPerService: 1 })
    await fleet.pollUntilReady()
  })

  afterEach(async () => { await fleet.close() })

  it('do not look complete', async () => {
    for (const { target } of fleet.targets) Object.assign(target, { responseMode: 'unframed', unframedBody: LONG_BODY, unframedEndDelayMs: NO_END_MS })
    const [instance] = fleet.instances
    if (instance === undefined) throw new Error('no instance')
    const { hostname, port } = new URL(fleet.baseUrlOf(instance))
    const caller = await RawCaller.create(hostname, Number(port))
    caller.send(['/menus/x'], { host: SOAK_HOST_NAME })
    await caller.waitUntil(() => caller.text.length > LONG_BODY.length)
    instance.process.signal('SIGKILL')
    await caller.waitUntil(() => caller.isClosed)
    expect([caller.head.split('\r\n')[0], caller.isComplete]).to.deep.equal(['HTTP/1.1 200 OK', false])
  })
})
