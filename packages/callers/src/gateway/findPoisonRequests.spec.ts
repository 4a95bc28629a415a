import { expect } from 'chai'
import { findPoisonRequests } from './findPoisonRequests.js'
import type { SuspectRequest } from './findPoisonRequests.js'

const suspect = (hash: string, starts: readonly string[], scope: SuspectRequest['scope'] = 'exact'): SuspectRequest => ({ hash, scope, starts })

const poisonOf = (...suspects: readonly SuspectRequest[]): readonly string[] => [...findPoisonRequests(suspects)].sort()

describe('findPoisonRequests', () => {
  it('finds a request under which three starts of targets crashed', () => {
    expect(poisonOf(suspect('bad', ['1', '2', '3']), suspect('other', ['1', '2']))).to.deep.equal(['bad'])
  })

  it('does not blame a request for crashes that another one with more of them explains', () => {
    expect(poisonOf(suspect('bad', ['1', '2', '3', '4']), suspect('innocent', ['1', '2', '3']))).to.deep.equal(['bad'])
  })

  it('blames all requests that it cannot tell apart', () => {
    expect(poisonOf(suspect('a', ['1', '2', '3']), suspect('b', ['1', '2', '3']))).to.deep.equal(['a', 'b'])
  })

  it('blames a second request for crashes of its own', () => {
    expect(poisonOf(suspect('a', ['1', '2', '3', '4']), suspect('b', ['4', '5', '6', '7']))).to.deep.equal(['a', 'b'])
  })

  it('blames the narrowest fingerprint that explains the crashes', () => {
    const starts = ['1', '2', '3', '4', '5']
    expect(poisonOf(suspect('any', starts, 'any-caller'), suspect('path', starts, 'path'), suspect('exact', starts))).to.deep.equal(['exact'])
    expect(poisonOf(suspect('any', starts, 'any-caller'), suspect('path', starts, 'path'), suspect('exact', ['1']))).to.deep.equal(['path'])
  })

  it('needs more crashes of requests that have only path and body in common', () => {
    expect(poisonOf(suspect('any', ['1', '2', '3', '4'], 'any-caller'))).to.deep.equal([])
    expect(poisonOf(suspect('any', ['1', '2', '3', '4', '5'], 'any-caller'))).to.deep.equal(['any'])
  })
})
