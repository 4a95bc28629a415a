import { expect } from 'chai'
import fc from 'fast-check'
import { ManualClock } from '../fakes/manualClock.js'
import { SharedRecords } from './sharedRecords.js'

type Names = ReadonlySet<string>

const RETENTION_MS = 1_000

/** Records whose values are sets of names; they expire after a while without a change at any daemon. */
const createRecords = (clock: ManualClock, maxRecords = 100): SharedRecords<{ readonly names: Names, readonly atMs: number }> => SharedRecords.create({
  name: 'test',
  clock,
  maxRecords,
  merge: (known, news) => {
    const names = new Set([...known?.names ?? [], ...news.names])
    return names.size === (known?.names.size ?? 0) ? undefined : { names, atMs: Math.max(known?.atMs ?? -Infinity, news.atMs) }
  },
  importanceOf: ({ names }) => names.size,
  isUrgent: ({ names }) => names.size > 1,
  isExpired: ({ atMs }, nowMs) => nowMs - atMs > RETENTION_MS,
  encode: ({ names, atMs }, nowMs) => [nowMs - atMs, ...names],
  decode: ([ageMs, ...names], nowMs) => typeof ageMs === 'number' ? { names: new Set(names.map(String)), atMs: nowMs - ageMs } : undefined
})

const news = (clock: ManualClock, ...names: readonly string[]): { readonly names: Names, readonly atMs: number } => ({ names: new Set(names), atMs: clock.monotonicMs() })

describe('SharedRecords', () => {
  it('converge whatever the order, the route and the repetitions of the messages', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(2), fc.constantFrom('a', 'b', 'c', 'd')), { minLength: 1 }), fc.array(fc.tuple(fc.nat(2), fc.nat(2))), (observed, exchanges) => {
      const clock = ManualClock.create()
      const daemons = [0, 1, 2].map(() => createRecords(clock))
      for (const [daemon, name] of observed) daemons[daemon]?.record('key', news(clock, name))
      const all = exchanges.concat([[0, 1], [1, 2], [2, 0], [0, 1]])
      for (const [from, to] of all) daemons[to]?.apply(daemons[from]?.collect('view', true) ?? [], 'fleet')
      const expected = [...new Set(observed.map(([, name]) => name))].sort()
      for (const daemon of daemons) expect([...daemon.get('key')?.names ?? []].sort()).to.deep.equal(expected)
    }))
  })

  it('carries own changes in reports, those of the zone in totals, and all in views and full messages', () => {
    const clock = ManualClock.create()
    const records = createRecords(clock)
    const rowsOf = (key: string): ReturnType<typeof records.collect> => {
      const other = createRecords(clock)
      other.record(key, news(clock, 'x'))
      return other.collect('view', true)
    }
    records.record('own', news(clock, 'x'))
    records.apply(rowsOf('near'), 'zone')
    records.apply(rowsOf('far'), 'fleet')
    const keys = (message: 'report' | 'zone' | 'view', isFull = false): readonly string[] => records.collect(message, isFull).map(([key]) => key)
    expect([keys('report'), keys('zone'), keys('view')]).to.deep.equal([['own'], ['own', 'near'], ['own', 'near', 'far']])
    clock.jumpMs(400)
    records.collect('view', false)
    clock.jumpMs(400)
    expect([keys('view'), keys('report', true)]).to.deep.equal([[], ['own', 'near', 'far']])
  })

  it('does not come back from others once it has expired, however often daemons tell each other', () => {
    const clock = ManualClock.create()
    const [first, second] = [createRecords(clock), createRecords(clock)]
    first.record('key', news(clock, 'x'))
    for (let round = 0; round < 20; round++) {
      clock.jumpMs(100)
      second.apply(first.collect('view', true), 'fleet')
      first.apply(second.collect('view', true), 'fleet')
    }
    expect([first.get('key'), second.get('key')]).to.deep.equal([undefined, undefined])
  })

  it('drops the least important records beyond its size', () => {
    const clock = ManualClock.create()
    const records = createRecords(clock, 2)
    records.record('one', news(clock, 'x'))
    records.record('three', news(clock, 'x', 'y', 'z'))
    records.record('two', news(clock, 'x', 'y'))
    expect(records.all().map(([key]) => key)).to.deep.equal(['three', 'two'])
  })

  it('skips malformed rows', () => {
    const clock = ManualClock.create()
    const records = createRecords(clock)
    expect(records.apply([['key', 'x'], ['other']], 'fleet')).to.equal(false)
    expect(records.size).to.equal(0)
  })
})
