import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'

const CALLERS = 10
const REQUESTS_PER_CALLER = 40
const DEADLINE_MS = 60

/** Guards against a retry that leaves with no time left, because a timeout fired less than 1 ms before the deadline. */
describe('retries of requests whose targets are silent, end to end', () => {
  let fleet: GatewayFleet

  before(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's' }])
    for (let index = 0; index < CALLERS; index++) (await fleet.addTarget(`t${index}`, 's')).responseMode = 'hang'
    await fleet.addDaemon()
  })

  after(async () => { await fleet.close() })

  it('end with the deadline', async () => {
    await Promise.all(Array.from({ length: CALLERS }, async () => {
      for (let index = 0; index < REQUESTS_PER_CALLER; index++) await fleet.call({ deadlineMs: DEADLINE_MS })
    }))
    const leftMs = fleet.logLines.filter(({ message }) => message === 'target chosen').map(line => Number(line.leftMs))
    expect(leftMs.filter(left => left < 1)).to.deep.equal([])
  })
})
