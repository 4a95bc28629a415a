import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import type { PermitGrants } from '@lovagehoist/common'
import { PERMIT_LIFETIME_MS, PermitHolder } from './permitHolder.js'
import { PermitIssuer } from './permitIssuer.js'

const TARGET = { targetId: 't', service: 's', perSecond: 3 }
const NO_PERMITS = { used: 0, unused: 0 }

describe('PermitHolder', () => {
  let clock: ManualClock
  let holder: PermitHolder

  beforeEach(() => {
    clock = ManualClock.create()
    holder = PermitHolder.create(clock)
  })

  it('allows one request for each permit', () => {
    holder.add('t', 1)
    expect([holder.has('t', false), holder.has('other', false)]).to.deep.equal([true, false])
    holder.spend('t')
    expect(holder.has('t', false)).to.equal(false)
    expect(holder.settledPermits()).to.deep.equal([['t', { used: 1, unused: 0 }]])
  })

  it('reports permits that expired, once', () => {
    holder.add('t', 2)
    clock.jumpMs(PERMIT_LIFETIME_MS + 1)
    expect(holder.has('t', false)).to.equal(false)
    for (let index = 0; index < 2; index++) expect(holder.settledPermits()).to.deep.equal([['t', { used: 0, unused: 2 }]])
  })

  it('keeps new permits for requests that nobody outranks', () => {
    holder.add('t', 1)
    expect([holder.has('t', false), holder.has('t', true)]).to.deep.equal([true, false])
    clock.jumpMs(300)
    expect(holder.has('t', true)).to.equal(true)
  })
})

describe('PermitIssuer', () => {
  const ROLE = { isIssuer: true, reporters: ['d1', 'd2'], zones: ['a'] }
  let clock: ManualClock
  let issuer: PermitIssuer

  const report = (startId: string, demand: number, settled = NO_PERMITS): void => { issuer.applyReport(startId, { limits: [], demand: [['s', demand]], settled: [['t', settled]] }) }
  const countOf = (permits: PermitGrants, startId?: string): number =>
    permits.filter(([id]) => startId === undefined || id === startId).reduce((sum, [, , count]) => sum + count, 0)
  /** Issues for a while; the daemons use each permit at once. */
  const issueFor = (durationMs: number, role = ROLE): Record<string, number> => {
    const counts: Record<string, number> = { d1: 0, d2: 0 }
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      clock.jumpMs(100)
      for (const [startId, , count] of issuer.issue([TARGET], role)) counts[startId] = (counts[startId] ?? 0) + count
      report('d1', 3, { used: counts['d1'] ?? 0, unused: 0 })
      report('d2', 1, { used: counts['d2'] ?? 0, unused: 0 })
    }
    return counts
  }

  beforeEach(() => {
    clock = ManualClock.create()
    issuer = PermitIssuer.create(clock, 'a')
    issuer.issue([TARGET], ROLE)
    report('d1', 3)
    report('d2', 1)
  })

  it('deals out the limit in proportion to the demand of the daemons', () => {
    const { d1 = 0, d2 = 0 } = issueFor(20_000)
    expect(d1 + d2).to.be.within(57, 61)
    expect(d1 / (d1 + d2)).to.be.within(0.7, 0.8)
  })

  it('takes the share of its zone, and that of silent zones after a while', () => {
    const role = { ...ROLE, zones: ['a', 'b'] }
    issuer.applyZoneDemand('b', [['s', 4]])
    const { d1: first = 0, d2: second = 0 } = issueFor(4_000, role)
    expect(first + second).to.be.within(5, 7)
    issueFor(2_000, role)
    const { d1: third = 0, d2: fourth = 0 } = issueFor(4_000, role)
    expect(third + fourth).to.be.at.least(11)
  })

  it('issues no more than a second and a half of permits that nobody uses, and issues expired ones again', () => {
    let issued = 0
    for (let index = 0; index < 40; index++) {
      clock.jumpMs(100)
      issued += countOf(issuer.issue([TARGET], ROLE))
    }
    expect(issued).to.be.within(4, 6)
    report('d1', 3, { used: 0, unused: 2 })
    expect(countOf(issuer.issue([TARGET], ROLE))).to.equal(2)
  })

  it('issues nothing while it is not the issuer, and starts without permits when it becomes one', () => {
    clock.jumpMs(5_000)
    expect(issuer.issue([TARGET], { ...ROLE, isIssuer: false })).to.deep.equal([])
    clock.jumpMs(5_000)
    expect(issuer.issue([TARGET], ROLE)).to.deep.equal([])
  })
})
