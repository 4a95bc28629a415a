import { expect } from 'chai'
import fc from 'fast-check'
import { ManualClock } from '@lovagehoist/common/fakes'
import type { WireEntry } from '../wire/messages.js'
import { EntryStore } from './entryStore.js'

const LIFETIME_MS = 30_000
const wire = (ref: number, key: string, sequence: number, ageMs = 0): WireEntry => [ref, 0, key, sequence, ageMs, LIFETIME_MS, sequence]

describe('EntryStore', () => {
  it('keeps the newest entry per origin and key in any order of arrival, and rejects older and equal sequences', () => {
    const step = fc.record({ ref: fc.nat({ max: 2 }), key: fc.constantFrom('a', 'b'), sequence: fc.integer({ min: 1, max: 8 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const store = EntryStore.create(ManualClock.create())
      const highest = new Map<string, number>()
      for (const { ref, key, sequence } of steps) {
        const name = `${ref}/${key}`
        const isNewer = sequence > (highest.get(name) ?? 0)
        expect(store.accept(wire(ref, key, sequence)) !== undefined).to.equal(isNewer)
        if (isNewer) highest.set(name, sequence)
      }
      expect(store.ofTopic('config').map(({ ref, key, value }) => [`${ref}/${key}`, value]).sort()).to.deep.equal([...highest].sort())
    }), { seed: 11, numRuns: 300 })
  })

  it('hides an expired entry but still rejects older sequences', async () => {
    const clock = ManualClock.create()
    const store = EntryStore.create(clock)
    store.accept(wire(1, 'a', 5))
    await clock.advanceMs(LIFETIME_MS)
    store.sweep()
    expect([store.ofTopic('config').length, store.hashes().size, store.accept(wire(1, 'a', 4))]).to.deep.equal([0, 0, undefined])
  })

  it('computes the same hashes for the same entries in any order', () => {
    const entries = ['a', 'b', 'c'].map((key, index) => wire(1, key, index + 1))
    const [one, two] = [EntryStore.create(ManualClock.create()), EntryStore.create(ManualClock.create())]
    for (const entry of entries) one.accept(entry)
    for (const entry of [...entries].reverse()) two.accept(entry)
    expect([...one.hashes()]).to.deep.equal([...two.hashes()])
    two.accept(wire(1, 'c', 9))
    expect([...one.hashes()]).to.not.deep.equal([...two.hashes()])
  })
})
