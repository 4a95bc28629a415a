import { expect } from 'chai'
import type { SoakRun } from './gatewayOracle.js'
import { findLimitBreaches } from './limitOracle.js'

const LIMIT = { targetId: 't', perSecond: 2, fromMs: 1_000, toMs: 20_000 }
/** 1.5 x 4 s x 2 a second + 5. */
const ALLOWED = 17

const runsFrom = (startMs: number, count: number, targetId = 't'): readonly SoakRun[] =>
  Array.from({ length: count }, (_, index) => ({ requestId: String(index), path: '/', body: '', service: 's', targetId, atMs: startMs + index, targetLeftAtMs: undefined }))

describe('oracle of limits', () => {
  const kinds = (runs: readonly SoakRun[], isFaultFree = true): readonly string[] => findLimitBreaches([LIMIT], runs, () => isFaultFree).map(({ kind }) => kind)

  it('allows as many requests in a window as the rule does', () => {
    expect(kinds(runsFrom(5_000, ALLOWED))).to.deep.equal([])
    expect(kinds([...runsFrom(5_000, ALLOWED), ...runsFrom(9_100, ALLOWED)])).to.deep.equal([])
  })

  it('finds one request more', () => {
    expect(kinds(runsFrom(5_000, ALLOWED + 1))).to.deep.equal(['limit-exceeded'])
  })

  it('excuses the time before the limit is in force, after its end, other targets and faults of daemons', () => {
    expect(kinds(runsFrom(3_000, ALLOWED + 1))).to.deep.equal([])
    expect(kinds(runsFrom(20_000, ALLOWED + 1))).to.deep.equal([])
    expect(kinds(runsFrom(5_000, ALLOWED + 1, 'other'))).to.deep.equal([])
    expect(kinds(runsFrom(5_000, ALLOWED + 1), false)).to.deep.equal([])
  })
})
