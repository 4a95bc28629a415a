import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'

const DAEMONS = 5
const WATCH_PATH = '/rows-feed'
/** One daemon of the fleet checks its watch with each of its reads of the listing. */
const CHECK_PATH = '/rows-feed (check)'
const LISTING_READ_INTERVAL_MS = 700
const SETTLE_MS = 2_500
const COUNTED_MS = 3_000
/** Time within which an accepted configuration is in force everywhere. */
const CONFIG_APPLY_MS = 2_000

describe('calls of a fleet to the store', function () {
  this.timeout(40_000)
  let fleet: GatewayFleet

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/orders/', kind: 'safe', service: 'orders' }])
    await fleet.addTarget('t-1', 'orders')
    for (let index = 0; index < DAEMONS; index++) await fleet.addDaemon('a')
    await fleet.clock.sleepMs(SETTLE_MS)
  })

  afterEach(async () => { await fleet.close() })

  const callsOf = (path: string): number => fleet.store.callsByPath.get(path) ?? 0

  it('do not grow with the number of daemons while the configuration changes', async () => {
    const before = { watch: callsOf(WATCH_PATH), check: callsOf(CHECK_PATH) }
    fleet.configure([{ prefix: '/orders/', kind: 'safe', service: 'orders' }, { prefix: '/menus/', kind: 'safe', service: 'orders' }])
    await fleet.clock.sleepMs(COUNTED_MS)
    expect(callsOf(WATCH_PATH) - before.watch).to.be.at.most(2)
    expect(callsOf(CHECK_PATH) - before.check).to.be.at.most(Math.ceil(COUNTED_MS / LISTING_READ_INTERVAL_MS))
  })

  it('leave no daemon without a new configuration', async () => {
    fleet.configure([{ prefix: '/orders/', kind: 'safe', service: 'orders' }, { prefix: '/menus/', kind: 'safe', service: 'orders' }])
    await fleet.clock.sleepMs(CONFIG_APPLY_MS)
    const statuses = await Promise.all(Array.from({ length: DAEMONS }, async (_, daemon) => (await fleet.call({ daemon, path: '/menus/1' })).status))
    expect(statuses).to.deep.equal(Array.from({ length: DAEMONS }, () => 200))
  })
})
