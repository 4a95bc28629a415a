import { expect } from 'chai'
import { AccountSimulation } from '../testing/accountSimulation.js'
import type { AccountSimulationOptions, AccountSimulationResult } from '../testing/accountSimulation.js'

const SMALL = { daemons: [12, 12, 12], seconds: 9 }
/** The largest account demands 7.5 times its usual from one second to the next, 4.7 times its rate. */
const HOT = [{ account: 0, factor: 7.5, fromMs: 3_000, untilMs: 8_000 }]
const FAULT_AT_MS = 5_000
const MIN_SERVED_SHARE = 0.98
/** Refused requests of accounts within their quota, relative to their requests, while daemons, zones or datagrams are lost. */
const MAX_REFUSED_IN_FAULT = 0.001

const run = async (change: Partial<AccountSimulationOptions>): Promise<AccountSimulationResult> =>
  await AccountSimulation.run({ seed: 1, ...SMALL, hot: HOT, ...change })

const isCutOff = (from: string, to: string): boolean => from !== to && (from === 'zone-0' || to === 'zone-0')

const expectWithinBound = ({ accounts }: AccountSimulationResult, maxRefusedWithin = MAX_REFUSED_IN_FAULT): void => {
  for (const { account, worstWindowShare } of accounts) expect(worstWindowShare, `account ${account}, largest window`).to.be.at.most(1)
  const perfect = accounts.reduce((sum, account) => sum + account.perfect, 0)
  expect(accounts.reduce((sum, account) => sum + Math.min(account.run, account.perfect), 0) / perfect, 'served').to.be.at.least(MIN_SERVED_SHARE)
  const within = accounts.filter(account => account.perfect === account.demanded)
  const demanded = within.reduce((sum, account) => sum + account.demanded, 0)
  expect(within.reduce((sum, account) => sum + account.refused, 0) / Math.max(1, demanded), 'refused within quota').to.be.at.most(maxRefusedWithin)
}

describe('quotas of client accounts (fleet in virtual time)', () => {
  it('costs no datagram while all accounts are far below their quota', async () => {
    const calm = { hot: [], seconds: 4, headroom: 5 }
    const [without, quotas] = [await run({ ...calm, hasAccounts: false }), await run(calm)]
    expectWithinBound(quotas, 0)
    expect(quotas.datagramsPerSecond / without.datagramsPerSecond).to.be.at.most(1.001)
  })

  for (const [daemons, fleet] of [
    [36, {}],
    [93, { daemons: [31, 31, 31] }],
    [165, { daemons: [42, 41, 41, 41], crossZoneDelayMs: 0.5, seconds: 6 }],
    [470, { daemons: [79, 79, 78, 78, 78, 78], seconds: 4, hot: [{ account: 0, factor: 7.5, fromMs: 1_500, untilMs: 5_000 }] }]
  ] as const) {
    it(`keeps ${daemons} daemons within the quota of an account that is hot from one second to the next, without refusing others`, async () => {
      expectWithinBound(await run(fleet), 0)
    })
  }

  it('keeps the quotas of small accounts, which have less than one request a second at a daemon', async () => {
    expectWithinBound(await run({ hot: [5, 30, 72].map(account => ({ ...HOT[0], account, factor: 7.5, fromMs: 3_000, untilMs: 8_000 })) }), 0)
  })

  it('follows accounts that move between zones', async () => {
    expectWithinBound(await run({ zoneOf: (account, atMs) => (account + Math.floor(atMs / 2_500)) % 3 }))
  })

  it('keeps the quotas when the first relays of all zones are lost and come back', async () => {
    expectWithinBound(await run({ restarts: { atMs: FAULT_AT_MS, downMs: 2_000, isHit: ({ relayRank }) => relayRank === 0 } }))
  })

  it('keeps the quotas when a zone is cut off from the others at the moment at which an account becomes hot', async () => {
    expectWithinBound(await run({ isCut: (from, to, atMs) => isCutOff(from, to) && atMs > 2_900 && atMs < 6_500 }))
  })

  it('keeps the quotas when all zones are cut off from each other', async () => {
    expectWithinBound(await run({ isCut: (from, to, atMs) => from !== to && atMs > FAULT_AT_MS && atMs < 7_500 }))
  })

  it('keeps the quotas when half of the daemons restart', async () => {
    expectWithinBound(await run({ restarts: { atMs: FAULT_AT_MS, downMs: 800, isHit: ({ index }) => index % 2 === 0 } }))
  })

  it('keeps the quotas when all daemons restart, compared with token buckets that are empty afterwards', async () => {
    expectWithinBound(await run({ restarts: { atMs: FAULT_AT_MS, downMs: 800, isHit: () => true } }))
  })

  it('enforces a lowered quota', async () => {
    expectWithinBound(await run({ quotaChange: { atMs: FAULT_AT_MS, factor: 0.4 } }))
  })

  it('keeps the quotas when a tenth of the datagrams is lost', async () => {
    expectWithinBound(await run({ lostShare: 0.1 }))
  })

  it('credits requests that no target ran back', async () => {
    const { accounts } = await run({ notRunShare: 0.3 })
    const hot = accounts[0]
    expect(hot?.worstWindowShare).to.be.at.most(1)
    const usual = (hot?.perfect ?? 0)
    expect((hot?.run ?? 0) / usual, 'runs of the hot account, relative to a bucket without credits').to.be.at.least(1.1)
  })
})
