import { expect } from 'chai'
import { fakeTarget } from '@lovagehoist/common/testing'
import { computeCapacity } from './ejections/capacity.js'
import type { EjectionView } from './ejections/ejectionView.js'
import type { TargetCounts } from './evidence/localEvidence.js'
import { rateTargets } from './ratings.js'

const targets = Array.from({ length: 8 }, (_, index) => fakeTarget(`t${index}`))
const capacity = computeCapacity(targets, { floorSlots: 42, coldStartMs: 0, wallMs: 1 })
const NO_EJECTIONS: EjectionView = { statuses: new Map(), readmitted: new Set(), validUntilMs: Infinity }

const countsAt = (targetId: string, attempts: number, failures: number): TargetCounts =>
  ({ targetId, fence: 0, long: { attempts, failures, slow: 0 }, short: { attempts: 0, failures: 0, slow: 0 } })

const rate = (change: Partial<Parameters<typeof rateTargets>[0]>) =>
  rateTargets({ view: NO_EJECTIONS, targets, capacity, counts: [], retained: new Set(), starvedTrials: new Set(), validUntilMs: 0, ...change }).byTarget

describe('ratings of targets', () => {
  it('keep targets that the floor retains in use for requests that can not be retried', () => {
    const failing = ['t0', 't1'].map(id => countsAt(id, 40, 30))
    const ratings = rate({ counts: [...failing, ...targets.slice(2).map(({ id }) => countsAt(id, 40, 0))] })
    const isUsableForAll = targets.filter(({ id }) => ratings.get(id)?.idempotentOnly !== true)
    expect(ratings.size).to.equal(2)
    expect(isUsableForAll.length * 6).to.be.at.least(capacity.floorSlots)
  })

  it('keep readmitted targets in use for requests that can not be retried', () => {
    expect(rate({ view: { ...NO_EJECTIONS, readmitted: new Set(['t4']) } }).get('t4')).to.include({ reason: 'given-back', idempotentOnly: false })
  })

  it('give a trial without any requests to requests that can not be retried', () => {
    const view: EjectionView = { ...NO_EJECTIONS, statuses: new Map([['t1', 'trial']]) }
    expect(rate({ view }).get('t1')).to.include({ status: 'trial', idempotentOnly: true })
    expect(rate({ view, starvedTrials: new Set(['t1']) }).get('t1')).to.include({ status: 'trial', idempotentOnly: false })
  })
})
