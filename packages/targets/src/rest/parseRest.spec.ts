import { expect } from 'chai'
import { parseRest } from './parseRest.js'

describe('parseRest', () => {
  it('reads whole and fractional seconds, and the longest of several fields', () => {
    expect(parseRest(['Retry-After', '3'])).to.deep.equal({ type: 'rest', durationMs: 3_000 })
    expect(parseRest(['a', 'b', 'retry-after', ' 0.25 '])).to.deep.equal({ type: 'rest', durationMs: 250 })
    expect(parseRest(['retry-after', '1', 'Retry-After', '2.5', 'retry-after', 'x'])).to.deep.equal({ type: 'rest', durationMs: 2_500 })
    expect(parseRest(['retry-after', '0'])).to.deep.equal({ type: 'rest', durationMs: 0 })
  })

  it('grants a day at most', () => {
    expect(parseRest(['retry-after', '9'.repeat(30)])).to.deep.equal({ type: 'rest', durationMs: 86_400_000 })
  })

  it('rejects what is no decimal number of seconds, and reads nothing where the field is missing', () => {
    for (const value of ['', '-1', '1e3', 'soon', 'Wed, 21 Oct 2093 07:28:00 GMT', '9'.repeat(33)]) expect(parseRest(['retry-after', value]).type).to.equal('invalid')
    expect(parseRest(['retry-later', '3'])).to.deep.equal({ type: 'none' })
  })
})
