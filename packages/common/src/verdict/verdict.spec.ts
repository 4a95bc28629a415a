import { expect } from 'chai'
import { joinVerdicts } from './verdict.js'

describe('joinVerdicts', () => {
  it('returns the verdict that asserts more execution', () => {
    expect(joinVerdicts('not-run', 'not-run')).to.equal('not-run')
    expect(joinVerdicts('may-have-run', 'not-run')).to.equal('may-have-run')
    expect(joinVerdicts('not-run', 'ran')).to.equal('ran')
  })
})
