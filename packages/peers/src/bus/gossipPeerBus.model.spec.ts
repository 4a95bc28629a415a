import { expect } from 'chai'
import fc from 'fast-check'
import type { GossipEntry, GossipTopic } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { FakeFleet } from '../fakes/fakeFleet.js'

const DAEMONS = 5
const TOPICS = ['config', 'ejection', 'evidence'] as const
const LIFETIME_MS = 600_000
const HEAL_MS = 45_000
const SEED = 20_260
const RUNS = 10

/** What the oracle knows: the newest value that each process published under each key. */
interface Model {
  readonly published: Map<string, { readonly process: string, readonly value: number }>
  nextValue: number
}

interface Real {
  readonly fleet: FakeFleet
  /** Sequences delivered to each process, by origin process, class and key. */
  readonly delivered: Map<string, number>
  readonly faults: string[]
}

const nameOf = (index: number): string => `daemon-${index}`

const watch = ({ fleet, delivered, faults }: Real, index: number): void => {
  const bus = fleet.daemons.get(nameOf(index))?.bus
  const here = bus?.self.startId ?? ''
  for (const topic of TOPICS) {
    bus?.onEntry(topic, entry => {
      const key = `${here}<${entry.origin.startId}/${topic}/${entry.key}`
      if (entry.sequence <= (delivered.get(key) ?? 0)) faults.push(`${key} ${entry.sequence}`)
      delivered.set(key, entry.sequence)
    })
  }
}

type Command = fc.AsyncCommand<Model, Real>

const command = (text: string, run: (model: Model, real: Real) => Promise<void>): Command => ({ check: () => true, run, toString: () => text })

const publish = (index: number, topic: GossipTopic): Command => command(`publish ${index} ${topic}`, async (model, { fleet }) => {
  const bus = fleet.daemons.get(nameOf(index))?.bus
  const value = model.nextValue++
  bus?.publish(topic, 'k', value, LIFETIME_MS)
  model.published.set(`${index}/${topic}`, { process: bus?.self.startId ?? '', value })
})

const pass = (ms: number): Command => command(`pass ${ms}`, async (_model, { fleet }) => { await fleet.clock.advanceMs(ms) })

const cut = (from: number, to: number): Command => command(`cut ${from}>${to}`, async (_model, { fleet }) => { fleet.links.cut.add(`${from + 1}>${to + 1}`) })

const heal = (): Command => command('heal', async (_model, { fleet }) => {
  fleet.links.cut.clear()
  fleet.links.paused.clear()
})

const pause = (index: number): Command => command(`pause ${index}`, async (_model, { fleet }) => { fleet.links.paused.add(index + 1) })

const replace = (index: number): Command => command(`replace ${index}`, async (model, real) => {
  real.fleet.kill(nameOf(index))
  real.fleet.mend(index + 1)
  await real.fleet.start(index)
  for (const topic of TOPICS) model.published.delete(`${index}/${topic}`)
  watch(real, index)
})

const replay = (count: number): Command => command(`replay ${count}`, async (_model, { fleet }) => {
  for (const { port, packet } of fleet.links.seen.slice(-count)) await fleet.links.listeners.get(port)?.(packet)
})

const slow = (delayMs: number): Command => command(`delay ${delayMs}`, async (_model, { fleet }) => { fleet.links.delayMs = delayMs })

const index = fc.nat({ max: DAEMONS - 1 })
const commands = [
  fc.tuple(index, fc.constantFrom(...TOPICS)).map(([at, topic]) => publish(at, topic)),
  fc.tuple(index, fc.constantFrom(...TOPICS)).map(([at, topic]) => publish(at, topic)),
  fc.integer({ min: 10, max: 20_000 }).map(pass),
  fc.tuple(index, index).map(([from, to]) => cut(from, to)),
  fc.constant(heal()),
  index.map(pause),
  index.map(replace),
  fc.integer({ min: 1, max: 60 }).map(replay),
  fc.constantFrom(1, 40, 400).map(slow)
]

const latest = (entries: readonly GossipEntry[], process: string): unknown => entries.find(({ origin, key }) => origin.startId === process && key === 'k')?.value

const verify = (model: Model, { fleet, faults }: Real): void => {
  expect(faults, 'entries older than one held').to.deep.equal([])
  expect(fleet.breaches).to.deep.equal([])
  for (const [id, { bus }] of fleet.daemons) {
    expect(bus.members().map(({ status }) => status), `members at ${id}`).to.deep.equal(Array(DAEMONS - 1).fill('reachable'))
    for (const [name, { process, value }] of model.published) {
      const topic = name.split('/')[1] as GossipTopic
      expect(latest(bus.entries(topic), process), `${name} at ${id}`).to.equal(value)
    }
  }
}

const play = async (steps: Iterable<Command>): Promise<void> => {
  const fleet = new FakeFleet(ManualClock.create(), 7)
  const real: Real = { fleet, delivered: new Map(), faults: [] }
  const model: Model = { published: new Map(), nextValue: 1 }
  for (let at = 0; at < DAEMONS; at++) {
    await fleet.start(at)
    watch(real, at)
  }
  await fleet.clock.advanceMs(5_000)
  await fc.asyncModelRun(() => ({ model, real }), steps)
  await heal().run(model, real)
  fleet.links.delayMs = 1
  await fleet.clock.advanceMs(HEAL_MS)
  verify(model, real)
  await fleet.close()
}

describe('GossipPeerBus under faults', () => {
  it('never delivers an older entry, and converges once daemons can talk', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 30, size: 'max' }), play), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  })

  it('counts nobody reachable whose words arrive but who hears nothing, or the reverse', async () => {
    for (const isDeaf of [true, false]) {
      const fleet = new FakeFleet(ManualClock.create(), 8)
      for (let at = 0; at < DAEMONS; at++) await fleet.start(at)
      await fleet.clock.advanceMs(8_000)
      for (let at = 1; at < DAEMONS; at++) fleet.links.cut.add(isDeaf ? `${at + 1}>1` : `1>${at + 1}`)
      await fleet.clock.advanceMs(25_000)
      for (let at = 1; at < DAEMONS; at++) {
        expect(fleet.statusAt(nameOf(at), nameOf(0)), `daemon-0 at ${at}`).to.equal('gone')
        expect(fleet.statusAt(nameOf(0), nameOf(at)), `${at} at daemon-0`).to.not.equal('reachable')
      }
      fleet.links.cut.clear()
      await fleet.clock.advanceMs(HEAL_MS)
      for (let at = 1; at < DAEMONS; at++) expect(fleet.statusAt(nameOf(at), nameOf(0))).to.equal('reachable')
      await fleet.close()
    }
  })

  it('calls nobody gone because of one cut link', async () => {
    const fleet = new FakeFleet(ManualClock.create(), 9)
    for (let at = 0; at < DAEMONS; at++) await fleet.start(at)
    await fleet.clock.advanceMs(8_000)
    fleet.links.cut.add('1>2')
    for (let step = 0; step < 120; step++) {
      await fleet.clock.advanceMs(500)
      expect(fleet.statusAt(nameOf(2), nameOf(1)), `after ${step} steps`).to.equal('reachable')
    }
    expect(fleet.statusAt(nameOf(0), nameOf(1))).to.equal('suspect')
    expect(fleet.statusAt(nameOf(2), nameOf(0))).to.equal('reachable')
    await fleet.close()
  })
})
