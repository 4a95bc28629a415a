import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'
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
})
