import { expect } from 'chai'
import { silentLog } from '@lovagehoist/common'
import type { Log } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { parseLimit } from './parseLimit.js'
import { TargetLimits } from './targetLimits.js'

const NAME = 'server-limit'
const NONE = { type: 'none' } as const
const limited = (perSecond: number) => ({ type: 'limited', perSecond }) as const

describe('parseLimit', () => {
  it('reads decimal numbers, zero included', () => {
    expect(parseLimit(['Server-Limit', ' 2.8 ', 'x', '1'], NAME)).to.deep.equal(limited(2.8))
    expect(parseLimit(['server-limit', '0'], NAME)).to.deep.equal(limited(0))
    expect(parseLimit(['x', NAME], NAME)).to.deep.equal(NONE)
  })

  for (const value of ['', '-1', '+1', '1e3', 'NaN', 'Infinity', '.5', '1,5', '1 2', '9'.repeat(400)]) {
    it(`rejects the limit "${value.slice(0, 10)}"`, () => {
      expect(parseLimit([NAME, value], NAME).type).to.equal('invalid')
    })
  }

  it('rejects several limits in one answer', () => {
    expect(parseLimit([NAME, '1', 'Server-Limit', '1'], NAME).type).to.equal('invalid')
  })
})

describe('TargetLimits', () => {
  let clock: ManualClock
  let limits: TargetLimits
  let warnings: number

  beforeEach(() => {
    clock = ManualClock.create()
    clock.jumpMs(1_000)
    warnings = 0
    const log: Log = { ...silentLog, warn: () => { warnings++ } }
    limits = TargetLimits.create(clock, log)
  })

  it('keeps a limit until an answer to a later request names none', () => {
    limits.recordAnswer('t', limited(2), 900)
    limits.recordAnswer('t', NONE, 950)
    expect(limits.limitOf('t')).to.equal(2)
    limits.recordAnswer('t', NONE, 1_100)
    expect(limits.limitOf('t')).to.equal(undefined)
  })

  it('ignores the limit in a late answer to a request sent before the one that lifted it', () => {
    limits.recordAnswer('t', limited(2), 900)
    limits.recordAnswer('t', NONE, 1_100)
    limits.recordAnswer('t', limited(2), 1_050)
    expect(limits.limitOf('t')).to.equal(undefined)
  })

  it('takes the limit of the answer whose request was sent last', () => {
    limits.recordAnswer('t', limited(2), 900)
    limits.recordAnswer('t', limited(5), 800)
    expect(limits.limitOf('t')).to.equal(2)
  })

  it('forgets the limit of a restarted target', () => {
    limits.recordAnswer('t', limited(2), 900)
    limits.forget('t')
    expect(limits.limitOf('t')).to.equal(undefined)
  })

  it('ignores invalid limits and reports them once for each target', () => {
    limits.recordAnswer('t', limited(2), 900)
    for (let index = 0; index < 3; index++) limits.recordAnswer('t', { type: 'invalid', reason: 'x' }, 1_100)
    expect(limits.limitOf('t')).to.equal(2)
    expect(warnings).to.equal(1)
  })
})
