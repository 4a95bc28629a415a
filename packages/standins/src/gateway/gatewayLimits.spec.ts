import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'
import type { CallResponse } from './gatewayFleet.js'

const DAEMONS = 3
const CALL_INTERVAL_MS = 25
/** Time in which all daemons have heard of a limit. */
const SPREAD_MS = 500
const WINDOW_MS = 4_000
const LIMIT = 2
/** Requests that the platform's rules allow in the window. */
const ALLOWED = 1.5 * LIMIT * WINDOW_MS / 1_000 + 5

describe('limits of targets, end to end', () => {
  let fleet: GatewayFleet

  /** Calls all daemons in turn. */
  const callFor = async (durationMs: number): Promise<readonly CallResponse[]> => {
    const calls: Array<Promise<CallResponse>> = []
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CALL_INTERVAL_MS) {
      calls.push(fleet.call({ daemon: calls.length % DAEMONS, path: '/p/pay/1', method: 'POST', body: 'x' }))
      await fleet.clock.sleepMs(CALL_INTERVAL_MS)
    }
    return await Promise.all(calls)
  }

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'unsafe', service: 's' }])
    await fleet.addTarget('t1', 's')
    await fleet.addTarget('t2', 's')
    for (let index = 0; index < DAEMONS; index++) await fleet.addDaemon()
  })

  afterEach(async () => { await fleet.close() })

  it('keeps the sum of the daemons within a limit and sends the other requests to other targets', async () => {
    const limited = fleet.targets.get('t1')
    if (limited !== undefined) limited.limitPerSecond = LIMIT
    await callFor(SPREAD_MS)
    const before = limited?.receivedRequests ?? 0
    const responses = await callFor(WINDOW_MS)
    expect((limited?.receivedRequests ?? 0) - before).to.be.within(1, ALLOWED)
    expect(responses.filter(({ status }) => status === 200)).to.have.length(responses.length)
  })

  it('refuses requests beyond the limits of all targets as not run, and spreads the times of return', async () => {
    for (const target of fleet.targets.values()) target.limitPerSecond = LIMIT
    await callFor(SPREAD_MS)
    const received = (): number => Math.max(...[...fleet.targets.values()].map(({ receivedRequests }) => receivedRequests))
    const before = received()
    const responses = await callFor(WINDOW_MS)
    expect(received() - before).to.be.at.most(ALLOWED)
    const refused = responses.filter(({ status }) => status === 503)
    expect(responses.filter(({ status }) => status === 200).length).to.be.at.least(LIMIT * WINDOW_MS / 1_000)
    expect(refused.every(({ body }) => body.includes('not-run'))).to.equal(true)
    const delays = refused.map(({ header }) => Number(header('retry-after')))
    expect(Math.max(...delays) - Math.min(...delays)).to.be.at.least(1)
  })
})
