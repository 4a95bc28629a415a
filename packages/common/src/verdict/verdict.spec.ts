import { expect } from 'chai'
import { joinVerdicts } from './verdict.js'

describe('joinVerdicts', () => {
  it('keeps the verdict that claims the most execution', () => {
    expect(joinVerdicts('not-run', 'not-run')).to.equal('not-run')
    expect(joinVerdicts('may-have-run', 'not-run')).to.equal('may-have-run')
    expect(joinVerdicts('not-run', 'ran')).to.equal('ran')
  })
})
