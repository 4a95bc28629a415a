import { expect } from 'chai'
import { request } from 'undici'
import { GatewayFleet, HOST_NAME } from './gatewayFleet.js'
import type { CallResponse } from './gatewayFleet.js'
import type { LinkCut } from './daemonLinks.js'

const DAEMONS = 4
const SERVICES = ['menus', 'orders'] as const
const TARGETS_OF_SERVICE = 4
const CALL_INTERVAL_MS = 30
const WORK_MS = 150
/** Time after which connections do not carry requests any more that can't be repeated. */
const UNCONFIRMED_MS = 2_500
const WARM_UP_MS = 1_000
/** Time after the start of a cut from which the platform's rules ask that callers are served. */
const STABILITY_WINDOW_MS = 3_000
const COUNTED_MS = 2_000
/** Share of the first tries that callers of a cut daemon have served, compared with those of the others. */
const REQUIRED_SHARE = 0.9

describe('a daemon that is cut off from all targets', () => {
  let fleet: GatewayFleet
  let nextPath = 0

  /** Calls a daemon's services in turn, with requests that can be repeated and others. */
  const callFor = async (daemon: number, durationMs: number): Promise<readonly CallResponse[]> => {
    const calls: Array<Promise<CallResponse>> = []
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CALL_INTERVAL_MS) {
      const isOrder = calls.length % 2 === 0
      calls.push(fleet.call({ daemon, path: `/${isOrder ? 'orders' : 'menus'}/${nextPath++}`, deadlineMs: 4_000, ...(isOrder ? { method: 'POST', body: 'x' } : {}) }))
      await fleet.clock.sleepMs(CALL_INTERVAL_MS)
    }
    return await Promise.all(calls)
  }
  const servedShare = (responses: readonly CallResponse[]): number => responses.filter(({ status }) => status === 200).length / responses.length

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.hasCuttableLinks = true
    fleet.configure([{ prefix: '/menus/', kind: 'safe', service: 'menus' }, { prefix: '/orders/', kind: 'unsafe', service: 'orders' }])
    for (const service of SERVICES) for (let index = 0; index < TARGETS_OF_SERVICE; index++) (await fleet.addTarget(`${service}-${index}`, service)).workMs = WORK_MS
    for (let index = 0; index < DAEMONS; index++) await fleet.addDaemon()
    await Promise.all(fleet.daemons.map(async (_, daemon) => await callFor(daemon, WARM_UP_MS)))
    // Requests that can't be repeated use connections only for a while after their last exchange.
    await fleet.clock.sleepMs(UNCONFIRMED_MS)
  })

  afterEach(async () => { await fleet.close() })

  const cut = (kind: LinkCut, daemons: readonly number[]): void => { for (const daemon of daemons) fleet.daemons[daemon]?.links.cut(kind) }

  for (const kind of ['silent', 'reset', 'refused'] as const) {
    it(`serves its callers through other daemons (${kind})`, async () => {
      cut(kind, [0, 1])
      await callFor(0, STABILITY_WINDOW_MS)
      const [isolated, other] = await Promise.all([callFor(0, COUNTED_MS), callFor(2, COUNTED_MS)])
      expect(servedShare(isolated)).to.be.at.least(REQUIRED_SHARE * servedShare(other))
      const orders = fleet.runs().filter(({ targetId }) => targetId.startsWith('orders')).map(({ requestId }) => requestId)
      expect(new Set(orders).size).to.equal(orders.length)
    })
  }

  it('serves the callers of a daemon that starts while it is cut off', async () => {
    await fleet.addDaemon()
    cut('silent', [DAEMONS])
    await callFor(DAEMONS, STABILITY_WINDOW_MS)
    expect(servedShare(await callFor(DAEMONS, COUNTED_MS))).to.be.at.least(REQUIRED_SHARE)
  })

  /** Cuts a daemon off and waits until it knows. */
  const isolate = async (daemons: readonly number[]): Promise<void> => {
    cut('reset', daemons)
    for (const daemon of daemons) await fleet.call({ daemon, path: '/menus/x' })
    await fleet.waitUntil(() => fleet.logLines.filter(({ message, state }) => message === 'path to targets changed' && state === 'cut').length >= daemons.length)
  }

  it('refuses requests at once as not run when no other daemon reaches targets either', async () => {
    const all = fleet.daemons.map((_, index) => index)
    await isolate(all)
    await fleet.clock.sleepMs(UNCONFIRMED_MS)
    const startedAtMs = fleet.clock.monotonicMs()
    const response = await fleet.call({ path: '/orders/x', method: 'POST', body: 'x' })
    expect([response.status, response.header('lovagehoist-verdict')]).to.deep.equal([503, 'not-run'])
    expect(Number(response.header('retry-after'))).to.be.within(0.1, 2)
    expect(fleet.clock.monotonicMs() - startedAtMs).to.be.below(200)
  })

  it('passes on long bodies whole', async () => {
    const body = 'y'.repeat(5_000_000)
    for (const target of fleet.targets.values()) target.responseBodyFor = () => body
    await isolate([0])
    const response = await fleet.call({ path: '/menus/long' })
    expect([response.status, response.body === body]).to.deep.equal([200, true])
  })

  it('cancels a request at the target when its caller leaves', async () => {
    await isolate([0])
    await fleet.clock.sleepMs(UNCONFIRMED_MS)
    for (const target of fleet.targets.values()) target.workMs = 3_000
    const leaving = new AbortController()
    const call = fleet.call({ path: '/menus/left', requestId: 'left-1', signal: leaving.signal }).catch(() => undefined)
    const run = (): { readonly isAborted: boolean } | undefined => [...fleet.targets.values()].flatMap(({ runs }) => runs).find(({ requestId }) => requestId === 'left-1')
    await fleet.waitUntil(() => run() !== undefined)
    leaving.abort()
    await call
    await fleet.clock.sleepMs(400)
    expect(run()?.isAborted).to.equal(true)
  })

  it('does not run an order again when the daemon that sent it to a target is lost', async () => {
    await isolate([0])
    await fleet.clock.sleepMs(UNCONFIRMED_MS)
    for (const target of fleet.targets.values()) target.workMs = 1_000
    const call = fleet.call({ path: '/orders/lost', method: 'POST', body: 'x', requestId: 'lost-1' })
    const runs = (): number => fleet.runs().filter(({ requestId }) => requestId === 'lost-1').length
    await fleet.waitUntil(() => runs() > 0)
    for (const { daemon, links } of fleet.daemons.splice(1)) {
      await daemon.stop()
      await links.close()
    }
    expect((await call).status).to.equal(502)
    expect(runs()).to.equal(1)
  })

  it('forwards to no daemon that is stopping, and such a daemon finishes what it has taken', async () => {
    await isolate([0])
    await fleet.clock.sleepMs(UNCONFIRMED_MS)
    const calls = callFor(0, 1_000)
    await fleet.clock.sleepMs(300)
    fleet.daemons[1]?.daemon.drain().catch(() => {})
    expect(servedShare(await calls)).to.equal(1)
    const before = fleet.logLines.filter(({ instance, message }) => instance === 'gate-1' && message === 'target chosen').length
    expect(servedShare(await callFor(0, 500))).to.equal(1)
    expect(fleet.logLines.filter(({ instance, message }) => instance === 'gate-1' && message === 'target chosen').length).to.equal(before)
  })

  it('rejects malformed requests at the port of other daemons', async () => {
    const { host = '', port = 0 } = fleet.daemons[1]?.peerAddress ?? {}
    const statusOf = async (forwarding: string): Promise<number> => {
      const { statusCode, body } = await request(`http://${host}:${port}/menus/x`, { headers: { host: HOST_NAME, 'lovagehoist-forwarding': forwarding } })
      await body.dump()
      return statusCode
    }
    expect(await Promise.all(['', 'service=menus', 'service=menus&config=x&attempts=1', 'x'.repeat(2_000)].map(statusOf))).to.deep.equal([400, 400, 400, 400])
    expect(await statusOf('service=menus&config=99&attempts=1&caller=x')).to.equal(503)
    expect(await statusOf('service=menus&config=2&attempts=1&caller=x')).to.equal(200)
  })
})
