import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'

const TIMEOUT_MS = 12_000

/** Guards against a shutdown whose last lines do not tell which requests it has cut off. */
describe('requests that a shutdown cuts off, end to end', () => {
  let fleet: GatewayFleet

  before(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/put/', kind: 'unsafe', service: 's', timeoutMs: TIMEOUT_MS }])
    ;(await fleet.addTarget('t1', 's')).responseMode = 'hang'
    await fleet.addDaemon()
  })

  after(async () => { await fleet.close() })

  it('are named with the id that the caller gave them', async () => {
    const call = fleet.call({ path: '/put/x', method: 'POST', body: 'b', requestId: 'never-answered', deadlineMs: TIMEOUT_MS }).catch(() => 'cut')
    await fleet.waitUntil(async () => fleet.runs().length === 1)
    const startedAtMs = fleet.clock.monotonicMs()
    await fleet.daemons[0]?.daemon.drain()
    const drainMs = fleet.clock.monotonicMs() - startedAtMs
    expect(await call).to.equal('cut')
    const line = fleet.logLines.find(({ message }) => message === 'exchange cut off')
    expect(line).to.deep.include({ level: 'warn', part: 'callers', requestId: 'never-answered', method: 'POST', isHeadSent: false })
    expect(line?.ageMs).to.be.within(2_600, drainMs + TIMEOUT_MS)
    expect(fleet.logLines.find(({ message }) => message === 'daemon left')?.cutExchanges).to.equal(1)
  })
})
