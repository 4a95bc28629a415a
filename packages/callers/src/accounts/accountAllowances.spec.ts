import { expect } from 'chai'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ClientAccount, NewsRow } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { AccountAllowances } from './accountAllowances.js'
import type { FleetRole } from './fleetRole.js'

const BOUNDS = { windowMs: 5_000, overageShare: 0.1, slackRequests: 20 }
const account = (name: string, requestsPerSecond: number): ClientAccount => ({ name, keys: [], priority: undefined, requestsPerSecond, burst: requestsPerSecond })
const ACME = account('acme', 10)

const create = (role: Partial<FleetRole> = {}, accounts: readonly ClientAccount[] | undefined = [ACME, account('free', 0)]) => {
  const clock = ManualClock.create()
  const state: { accounts: readonly ClientAccount[] | undefined } = { accounts }
  const allowances = AccountAllowances.create({
    clock,
    random: SeededRandom.create(1),
    log: silentLog,
    startId: 'self',
    availabilityZone: 'a',
    role: { relayRank: () => -1, zones: () => ['a'], zoneSilenceMs: () => Infinity, viewAgeMs: () => 0, knownDaemons: () => 10, zoneDaemons: () => ({ known: 10, heard: 10 }), ...role },
    accounts: () => state.accounts,
    bounds: () => BOUNDS
  })
  return { clock, allowances, state }
}

const countAdmitted = (allowances: AccountAllowances, requests: number, of = ACME): number =>
  Array.from({ length: requests }, () => allowances.admit(of)).filter(({ type }) => type === 'admitted').length

/** Demanded and admitted requests of one account as the daemon reports them. */
const reported = (allowances: AccountAllowances): readonly unknown[] => (allowances.news.collect('report', true)[0] ?? []).slice(5)

const report = (startId: string, uptimeMs: number, ageMs: number, demanded: number, admitted: number): NewsRow => ['report', startId, uptimeMs, 'acme', ageMs, demanded, admitted]

describe('account allowances', () => {
  it('admit the fraction that a relay names, also when it is not a simple one', () => {
    const { allowances } = create()
    allowances.news.apply([['view', 'relay', 'acme', 0.37, 500]], 'fleet')
    expect(countAdmitted(allowances, 1_000)).to.be.within(369, 371)
  })

  it('admit everything once a fraction has expired', async () => {
    const { allowances, clock } = create()
    allowances.news.apply([['view', 'relay', 'acme', 0, 500]], 'fleet')
    expect(countAdmitted(allowances, 10)).to.equal(0)
    await clock.advanceMs(2_100)
    expect(countAdmitted(allowances, 10)).to.equal(10)
  })

  it('take the smaller fraction of two relays, since one that has just started knows less', () => {
    const { allowances } = create()
    allowances.news.apply([['view', 'standby', 'acme', 0.2, 500], ['view', 'started', 'acme', 1, 0]], 'fleet')
    expect(countAdmitted(allowances, 100)).to.be.within(19, 21)
  })

  it('keep to the share of one daemon while no relay is heard from, beginning with one request', async () => {
    const { allowances, clock } = create({ viewAgeMs: () => 3_000 })
    expect(countAdmitted(allowances, 5)).to.equal(1)
    const refused = allowances.admit(ACME)
    expect(refused).to.deep.equal({ type: 'over-allowance', retryDelayMs: 1_000 })
    await clock.advanceMs(1_000)
    expect(countAdmitted(allowances, 5)).to.equal(1)
  })

  it('credit a request back that no target ran, once', () => {
    const { allowances } = create()
    const [first, second] = [allowances.admit(ACME), allowances.admit(ACME)]
    if (first.type === 'admitted') for (const ran of [false, false, true]) first.settle(ran)
    if (second.type === 'admitted') second.settle(true)
    expect(reported(allowances)).to.deep.equal([2, 1])
  })

  it('refuse nothing of accounts without a quota, and report nothing of them', () => {
    const { allowances } = create({ viewAgeMs: () => 3_000 })
    expect(countAdmitted(allowances, 100, account('free', 0))).to.equal(100)
    expect(allowances.news.collect('report', true)).to.deep.equal([])
  })

  it('send no rows and ignore those of others where the configuration has no accounts', () => {
    const { allowances, state } = create({ relayRank: () => 0 })
    state.accounts = undefined
    expect(allowances.news.apply([report('other', 100, 100, 1_000, 1_000)], 'zone')).to.equal(false)
    for (const message of ['report', 'zone', 'view'] as const) expect(allowances.news.collect(message, true)).to.deep.equal([])
  })

  it('skip malformed rows and unknown accounts', () => {
    const { allowances } = create({ relayRank: () => 0 })
    const rows: readonly NewsRow[] = [
      ['report'], ['report', 'd'], ['report', 7, 7, 'acme', 1, 1, 1], ['report', 'd', 1, 'acme', 1, 1], ['report', 'd', 1, 'acme', 1, 1, 'x'], ['report', 'd', 1, 'acme', -1, 1, 1], ['report', 'd', 1, 'acme', 1, 1, 2],
      ['report', 'd', 1, 'unknown', 1, 900, 900], ['zone', 'b', 'r', 1, 'acme', -5, 1, 1], ['zone', 'b', 'r', 1, 'acme', 900], ['view', 'r', 'acme', 2, 1], ['view', 'r', 'acme', 0.1], ['view', 3, 'acme', 0.1, 1], ['later', 'x'], ['toString', 1]
    ]
    expect(allowances.news.apply(rows, 'zone')).to.equal(false)
    expect(allowances.summarize()).to.deep.include({ limitedCount: 0, limited: [] })
    expect(countAdmitted(allowances, 20)).to.equal(20)
  })

  describe('of a relay', () => {
    const levelAfter = async (rows: readonly NewsRow[]): Promise<number> => {
      const { allowances, clock } = create({ relayRank: () => 0 })
      await clock.advanceMs(1_500)
      for (const row of [...rows, report('busy', 1_500, 1_400, 100, 40)]) allowances.news.apply([row], 'zone')
      return allowances.summarize().limited[0]?.level ?? NaN
    }

    it('count a report once, whether it is repeated or overtaken by a later one', async () => {
      const once = await levelAfter([report('d', 1_000, 900, 20, 10)])
      expect(once).to.be.below(0)
      expect(await levelAfter([report('d', 900, 800, 15, 5), report('d', 1_000, 900, 20, 10), report('d', 900, 800, 15, 5), report('d', 1_000, 900, 20, 10)])).to.be.closeTo(once, 0.001)
    })

    it('count what a restarted daemon reports in addition to its previous process', async () => {
      const [once, restarted] = [await levelAfter([report('d-0', 1_000, 900, 20, 10)]), await levelAfter([report('d-0', 1_000, 900, 20, 10), report('d-1', 100, 100, 5, 5)])]
      expect(once - restarted).to.be.closeTo(5, 0.001)
    })

    it('do not count what counters that are older than the relay held before', async () => {
      const [without, older] = [await levelAfter([]), await levelAfter([report('d', 90_000, 80_000, 9_000, 9_000)])]
      expect(older).to.be.closeTo(without, 0.001)
    })
  })
})
