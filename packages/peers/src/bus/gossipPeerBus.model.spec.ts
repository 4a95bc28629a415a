import { expect } from 'chai'
import fc from 'fast-check'
import type { GossipEntry, GossipTopic } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { FakeFleet } from '../fakes/fakeFleet.js'

const DAEMONS = 5
const TOPICS = ['config', 'ejection', 'evidence'] as const
const LIFETIME_MS = 600_000
const CONVERGENCE_MS = 45_000
const SEED = 20_260
const RUNS = 10

/** Model of the expected state: the newest value that each process published per topic. */
interface Model {
  readonly latestPublished: Map<string, { readonly process: string, readonly value: number }>
  nextValue: number
}

interface Real {
  readonly fleet: FakeFleet
  /** Highest sequence delivered to each process, by receiver, origin process, topic and key. */
  readonly delivered: Map<string, number>
  readonly orderViolations: string[]
}

const instanceIdOf = (index: number): string => `daemon-${index}`

const recordDeliveries = ({ fleet, delivered, orderViolations }: Real, index: number): void => {
  const bus = fleet.daemons.get(instanceIdOf(index))?.bus
  const receiver = bus?.self.startId ?? ''
  for (const topic of TOPICS) {
    bus?.onEntry(topic, entry => {
      const key = `${receiver}<${entry.origin.startId}/${topic}/${entry.key}`
      if (entry.sequence <= (delivered.get(key) ?? 0)) orderViolations.push(`${key} ${entry.sequence}`)
      delivered.set(key, entry.sequence)
    })
  }
}

type Command = fc.AsyncCommand<Model, Real>

const command = (text: string, run: (model: Model, real: Real) => Promise<void>): Command => ({ check: () => true, run, toString: () => text })

const publish = (index: number, topic: GossipTopic): Command => command(`publish ${index} ${topic}`, async (model, { fleet }) => {
  const bus = fleet.daemons.get(instanceIdOf(index))?.bus
  const value = model.nextValue++
  bus?.publish(topic, 'k', value, LIFETIME_MS)
  model.latestPublished.set(`${index}/${topic}`, { process: bus?.self.startId ?? '', value })
})

const advanceTime = (ms: number): Command => command(`pass ${ms}`, async (_model, { fleet }) => { await fleet.clock.advanceMs(ms) })

const cutLink = (from: number, to: number): Command => command(`cut ${from}>${to}`, async (_model, { fleet }) => { fleet.links.cutDirections.add(`${from + 1}>${to + 1}`) })

const healLinks = (): Command => command('heal', async (_model, { fleet }) => {
  fleet.links.cutDirections.clear()
  fleet.links.pausedPorts.clear()
})

const pause = (index: number): Command => command(`pause ${index}`, async (_model, { fleet }) => { fleet.links.pausedPorts.add(index + 1) })

const replace = (index: number): Command => command(`replace ${index}`, async (model, real) => {
  real.fleet.kill(instanceIdOf(index))
  real.fleet.reconnect(index + 1)
  await real.fleet.start(index)
  for (const topic of TOPICS) model.latestPublished.delete(`${index}/${topic}`)
  recordDeliveries(real, index)
})

const replay = (count: number): Command => command(`replay ${count}`, async (_model, { fleet }) => {
  for (const { port, packet } of fleet.links.deliveredPackets.slice(-count)) await fleet.links.listeners.get(port)?.(packet)
})

const setDelay = (delayMs: number): Command => command(`delay ${delayMs}`, async (_model, { fleet }) => { fleet.links.delayMs = delayMs })

const index = fc.nat({ max: DAEMONS - 1 })
const commands = [
  fc.tuple(index, fc.constantFrom(...TOPICS)).map(([at, topic]) => publish(at, topic)),
  fc.tuple(index, fc.constantFrom(...TOPICS)).map(([at, topic]) => publish(at, topic)),
  fc.integer({ min: 10, max: 20_000 }).map(advanceTime),
  fc.tuple(index, index).map(([from, to]) => cutLink(from, to)),
  fc.constant(healLinks()),
  index.map(pause),
  index.map(replace),
  fc.integer({ min: 1, max: 60 }).map(replay),
  fc.constantFrom(1, 40, 400).map(setDelay)
]

const valueFrom = (entries: readonly GossipEntry[], process: string): unknown => entries.find(({ origin, key }) => origin.startId === process && key === 'k')?.value

const verify = (model: Model, { fleet, orderViolations }: Real): void => {
  expect(orderViolations, 'deliveries that are not newer than an earlier one').to.deep.equal([])
  expect(fleet.breaches).to.deep.equal([])
  for (const [id, { bus }] of fleet.daemons) {
    expect(bus.members().map(({ status }) => status), `members at ${id}`).to.deep.equal(Array(DAEMONS - 1).fill('reachable'))
    for (const [name, { process, value }] of model.latestPublished) {
      const topic = name.split('/')[1] as GossipTopic
      expect(valueFrom(bus.entries(topic), process), `${name} at ${id}`).to.equal(value)
    }
  }
}

const runCommands = async (steps: Iterable<Command>): Promise<void> => {
  const fleet = new FakeFleet(ManualClock.create(), 7)
  const real: Real = { fleet, delivered: new Map(), orderViolations: [] }
  const model: Model = { latestPublished: new Map(), nextValue: 1 }
  for (let at = 0; at < DAEMONS; at++) {
    await fleet.start(at)
    recordDeliveries(real, at)
  }
  await fleet.clock.advanceMs(5_000)
  await fc.asyncModelRun(() => ({ model, real }), steps)
  await healLinks().run(model, real)
  fleet.links.delayMs = 1
  await fleet.clock.advanceMs(CONVERGENCE_MS)
  verify(model, real)
  await fleet.close()
}

describe('GossipPeerBus under faults', () => {
  it('never delivers an older entry, and converges after all links are restored', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 30, size: 'max' }), runCommands), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  })

  it('does not count a member as reachable if packets arrive in only one direction', async () => {
    for (const isInboundCut of [true, false]) {
      const fleet = new FakeFleet(ManualClock.create(), 8)
      for (let at = 0; at < DAEMONS; at++) await fleet.start(at)
      await fleet.clock.advanceMs(8_000)
      for (let at = 1; at < DAEMONS; at++) fleet.links.cutDirections.add(isInboundCut ? `${at + 1}>1` : `1>${at + 1}`)
      await fleet.clock.advanceMs(25_000)
      for (let at = 1; at < DAEMONS; at++) {
        expect(fleet.statusAt(instanceIdOf(at), instanceIdOf(0)), `daemon-0 at ${at}`).to.equal('gone')
        expect(fleet.statusAt(instanceIdOf(0), instanceIdOf(at)), `${at} at daemon-0`).to.not.equal('reachable')
      }
      fleet.links.cutDirections.clear()
      await fleet.clock.advanceMs(CONVERGENCE_MS)
      for (let at = 1; at < DAEMONS; at++) expect(fleet.statusAt(instanceIdOf(at), instanceIdOf(0))).to.equal('reachable')
      await fleet.close()
    }
  })

  it('does not declare a member gone because of one cut link', async () => {
    const fleet = new FakeFleet(ManualClock.create(), 9)
    for (let at = 0; at < DAEMONS; at++) await fleet.start(at)
    await fleet.clock.advanceMs(8_000)
    fleet.links.cutDirections.add('1>2')
    for (let step = 0; step < 120; step++) {
      await fleet.clock.advanceMs(500)
      expect(fleet.statusAt(instanceIdOf(2), instanceIdOf(1)), `after ${step} steps`).to.equal('reachable')
    }
    expect(fleet.statusAt(instanceIdOf(0), instanceIdOf(1))).to.equal('suspect')
    expect(fleet.statusAt(instanceIdOf(2), instanceIdOf(0))).to.equal('reachable')
    await fleet.close()
  })
})
