import { expect } from 'chai'
import fc from 'fast-check'
import { silentLog } from '@lovagehoist/common'
import type { ClientAccount } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { AccountIndex } from './accountIndex.js'
import { parseBearerKey } from './bearerKey.js'
import { KeyVerifier } from './keyVerifier.js'

const CONNECTED = new AbortController().signal
const SEED = 37

const account = (name: string, keys: readonly string[]): ClientAccount => ({ name, keys, priority: undefined, requestsPerSecond: 0, burst: 0 })

describe('KeyVerifier', () => {
  let clock: ManualClock
  let accounts: readonly ClientAccount[]
  let version: number
  let configAgeMs: number
  let isKeyRevocationStrict: boolean
  let verifier: KeyVerifier
  let decided: Array<{ readonly atMs: number, readonly result: string }>

  const verify = (key: string): void => {
    verifier.verify(key, CONNECTED).then(result => {
      decided.push({ atMs: clock.monotonicMs(), result: result.match(({ name }) => name, ({ kind }) => kind) })
    }).catch(() => {})
  }

  beforeEach(() => {
    clock = ManualClock.create()
    accounts = [account('acme', ['a-1', 'a-2']), account('zenith', ['z-1'])]
    version = 1
    configAgeMs = 100
    isKeyRevocationStrict = false
    decided = []
    verifier = KeyVerifier.create({
      clock,
      log: silentLog,
      accounts: () => ({ version, index: AccountIndex.create(accounts) }),
      configAgeMs: () => configAgeMs,
      bounds: () => ({ keyRevocationMs: 5_000, isKeyRevocationStrict })
    })
  })

  it('finds the account of a known key without a wait', async () => {
    verify('z-1')
    await clock.advanceMs(0)
    expect(decided).to.deep.equal([{ atMs: 0, result: 'zenith' }])
  })

  it('accepts a key that a newer configuration adds while the request waits', async () => {
    verify('new')
    await clock.advanceMs(100)
    accounts = [...accounts, account('new', ['new'])]
    version = 2
    await clock.advanceMs(100)
    expect(decided).to.deep.equal([{ atMs: 120, result: 'new' }])
  })

  it('refuses an unknown key after one wait, and at once when it comes again, until the configuration changes', async () => {
    verify('guess')
    await clock.advanceMs(400)
    verify('guess')
    await clock.advanceMs(0)
    expect(decided).to.deep.equal([{ atMs: 300, result: 'unknown-account' }, { atMs: 400, result: 'unknown-account' }])
    version = 2
    verify('guess')
    await clock.advanceMs(0)
    expect(decided).to.have.length(2)
  })

  it('lets only a few guessed keys wait, so that guessing costs no memory', async () => {
    for (let index = 0; index < 100; index++) verify(`guess-${index}`)
    await clock.advanceMs(0)
    expect(decided).to.have.length(92)
  })

  it('does not call a key unknown while the configuration may be out of date', async () => {
    configAgeMs = 10_000
    verify('new')
    await clock.advanceMs(400)
    expect(decided).to.deep.equal([{ atMs: 300, result: 'not-ready' }])
  })

  it('accepts known keys without contact to the store, unless revocation is strict', async () => {
    configAgeMs = 60_000
    verify('a-2')
    await clock.advanceMs(0)
    isKeyRevocationStrict = true
    verify('a-2')
    await clock.advanceMs(0)
    expect(decided.map(({ result }) => result)).to.deep.equal(['acme', 'not-ready'])
  })
})

describe('parseBearerKey', () => {
  const keyOf = (...values: readonly string[]): string | undefined => parseBearerKey(values.flatMap(value => ['Authorization', value])).unwrapOr(undefined)

  it('takes one key with the bearer scheme in any case', () => {
    expect(keyOf('Bearer abc=')).to.equal('abc=')
    expect(keyOf('bEARER   abc ')).to.equal('abc')
    expect(parseBearerKey(['host', 'x', 'aUTHORIZATION', 'Bearer k']).unwrapOr(undefined)).to.equal('k')
  })

  it('takes no other scheme, no empty or long key and no second field', () => {
    for (const value of ['', 'Bearer', 'Bearer ', 'Basic abc', 'abc', 'Bearer a b', 'Bearer a,b', 'Bearer\tabc', `Bearer ${'k'.repeat(8_000)}`]) expect(keyOf(value), value.slice(0, 20)).to.equal(undefined)
    expect(keyOf()).to.equal(undefined)
    expect(keyOf('Bearer abc', 'Bearer abc')).to.equal(undefined)
  })

  it('never repeats the value in an error, whatever it is', () => {
    fc.assert(fc.property(fc.string({ minLength: 12 }), fc.string({ minLength: 12 }), (first, second) => {
      for (const values of [[first], [first, second], [`Bearer ${first}`]]) {
        const parsed = parseBearerKey(values.flatMap(value => ['authorization', value]))
        if (parsed.isErr()) expect(values.some(value => parsed.error.includes(value))).to.equal(false)
        else expect(values).to.deep.equal([`Bearer ${parsed.value}`])
      }
    }), { seed: SEED, numRuns: 500 })
  })
})
