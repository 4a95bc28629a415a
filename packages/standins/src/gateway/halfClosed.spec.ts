import { expect } from 'chai'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { GatewayFleet, HOST_NAME } from './gatewayFleet.js'

const CALLERS = 20
/** Long enough for several interim responses. */
const WORK_MS = 600
const LONG_WORK_MS = 4_000
const CANCEL_BOUND_MS = 500
const INTERIM = /HTTP\/1\.1 100 Continue\r\n\r\n/g

/** A caller's connection that stays readable after its own end, and records what it receives. */
class HalfClosingCaller {
  text = ''
  closedAtMs = Infinity

  private constructor (readonly socket: Socket, fleet: GatewayFleet) {
    socket.on('data', data => { this.text += data.toString('latin1') }).on('error', () => { this.text += 'RESET' })
    socket.on('end', () => { socket.end() }).on('close', () => { this.closedAtMs = fleet.clock.monotonicMs() })
  }

  static async create (fleet: GatewayFleet): Promise<HalfClosingCaller> {
    const { host = '', port = 0 } = fleet.daemons[0]?.callerAddress ?? {}
    const socket = connect({ host, port, allowHalfOpen: true })
    await once(socket, 'connect')
    return new HalfClosingCaller(socket, fleet)
  }

  /** Everything received but the interim responses. */
  get answers (): string {
    return this.text.replaceAll(INTERIM, '')
  }

  get statuses (): readonly string[] {
    return [...this.answers.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status = '']) => status)
  }

  async untilClosed (): Promise<void> {
    if (!this.socket.closed) await once(this.socket, 'close')
  }
}

const head = (method: string, path: string, id: string, { version = '1.1', fields = [] }: { readonly version?: string, readonly fields?: readonly string[] } = {}): string =>
  `${[`${method} ${path} HTTP/${version}`, `Host: ${HOST_NAME}`, `${PLATFORM_HEADERS.requestId}: ${id}`, `${PLATFORM_HEADERS.deadline}: 8000`, ...fields].join('\r\n')}\r\n\r\n`

describe('callers that end their half of the connection, end to end', () => {
  let fleet: GatewayFleet

  const setWorkMs = (workMs: number): void => { for (const target of fleet.targets.values()) target.workMs = workMs }
  const runsOf = (prefix: string): ReadonlyArray<{ readonly requestId: string, readonly isAborted: boolean }> => [...fleet.targets.values()].flatMap(({ runs }) => runs).filter(({ requestId }) => requestId.startsWith(prefix))
  const send = async (text: string): Promise<HalfClosingCaller> => {
    const caller = await HalfClosingCaller.create(fleet)
    caller.socket.end(text)
    return caller
  }
  const sendAll = async (prefix: string): Promise<readonly HalfClosingCaller[]> => await Promise.all(Array.from({ length: CALLERS }, async (_, index) => await send(head('GET', '/get/x', `${prefix}${index}`))))
  /** Time until the targets have dropped all requests with an id that begins with the prefix. */
  const cancelMsOf = async (prefix: string): Promise<number> => {
    const startedAtMs = fleet.clock.monotonicMs()
    await fleet.waitUntil(() => runsOf(prefix).every(({ isAborted }) => isAborted))
    return fleet.clock.monotonicMs() - startedAtMs
  }

  before(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/get/', kind: 'safe', service: 's', timeoutMs: 8_000 }, { prefix: '/put/', kind: 'unsafe', service: 's', timeoutMs: 8_000 }])
    for (const id of ['t1', 't2', 't3', 't4']) await fleet.addTarget(id, 's')
    await fleet.addDaemon()
    for (let index = 0; index < 8; index++) await fleet.call({ path: '/get/x' })
  })

  beforeEach(() => { setWorkMs(WORK_MS) })

  after(async () => { await fleet.close() })

  for (const [kind, request] of [
    ['safe', (id: string) => head('GET', '/get/x', id)],
    ['unsafe', (id: string) => `${head('POST', '/put/x', id, { fields: ['Content-Length: 4'] })}body`]
  ] as const) {
    it(`get their answer on ${kind} routes instead of a closed connection, and the request runs once`, async () => {
      const callers = await Promise.all(Array.from({ length: CALLERS }, async (_, index) => await send(request(`${kind}-${index}.`))))
      await Promise.all(callers.map(async caller => { await caller.untilClosed() }))
      expect(callers.filter(({ statuses, answers }) => statuses.join() === '200' && /from t\d/.test(answers))).to.have.length(CALLERS)
      for (let index = 0; index < CALLERS; index++) expect(runsOf(`${kind}-${index}.`)).to.have.length(1)
    })
  }

  it('get the answers to all requests that they sent before', async () => {
    const paths = ['/get/1', '/get/2', '/get/3']
    const caller = await send(paths.map((path, index) => head('GET', path, `pipelined-${index}`)).join(''))
    await caller.untilClosed()
    expect(caller.statuses).to.deep.equal(['200', '200', '200'])
    expect([...new Set(caller.answers.match(/pipelined-\d/g))]).to.deep.equal(['pipelined-0', 'pipelined-1', 'pipelined-2'])
  })

  it('get no interim response in HTTP/1.0, which has none', async () => {
    const caller = await send(head('GET', '/get/x', 'version-0', { version: '1.0' }))
    await caller.untilClosed()
    expect([caller.text.startsWith('HTTP/1.1 200'), /from t\d$/.test(caller.text)]).to.deep.equal([true, true])
  })

  it('are taken for gone in the middle of a body, whose request does not run', async () => {
    const caller = await send(`${head('POST', '/put/x', 'unfinished-0', { fields: ['Content-Length: 10'] })}body`)
    await caller.untilClosed()
    await fleet.clock.sleepMs(WORK_MS)
    expect([runsOf('unfinished-'), caller.statuses.includes('200')]).to.deep.equal([[], false])
  })

  it('are told from callers that have left, whose requests are cancelled at their targets within 500 ms', async () => {
    setWorkMs(LONG_WORK_MS)
    const callers = await Promise.all(Array.from({ length: CALLERS }, async (_, index) => {
      const caller = await HalfClosingCaller.create(fleet)
      caller.socket.write(head('GET', '/get/x', `left-${index}.`))
      return caller
    }))
    await fleet.waitUntil(() => runsOf('left-').length === CALLERS)
    for (const { socket } of callers) socket.destroy()
    expect(await cancelMsOf('left-')).to.be.below(CANCEL_BOUND_MS)
    await fleet.waitUntil(() => fleet.logLines.filter(({ message, requestId }) => message === 'caller left' && String(requestId).startsWith('left-')).length === CALLERS)
    expect(fleet.logLines.find(({ message, requestId }) => message === 'caller left' && requestId === 'left-0.')?.connection).to.equal('reset')
  })

  it('are told from callers that end and close at once', async () => {
    setWorkMs(LONG_WORK_MS)
    const callers = await sendAll('ended-')
    await fleet.waitUntil(() => runsOf('ended-').length === CALLERS)
    for (const { socket } of callers) socket.destroy()
    expect(await cancelMsOf('ended-')).to.be.below(CANCEL_BOUND_MS)
  })

  it('have their requests cancelled when they leave later', async () => {
    setWorkMs(LONG_WORK_MS)
    const callers = await sendAll('later-')
    await fleet.waitUntil(() => callers.every(({ text }) => text.split('100 Continue').length > 2))
    for (const { socket } of callers) socket.destroy()
    await cancelMsOf('later-')
    expect(runsOf('later-')).to.have.length(CALLERS)
  })

  it('get their answer from an instance that leaves, which then ends their connection', async () => {
    const caller = await send(head('GET', '/get/x', 'leaving-0'))
    await fleet.waitUntil(() => runsOf('leaving-').length === 1)
    await fleet.daemons[0]?.daemon.drain()
    expect(caller.statuses).to.deep.equal(['200'])
    expect(fleet.logLines.find(({ message }) => message === 'daemon left')?.cutExchanges).to.equal(0)
    await caller.untilClosed()
  })
})
