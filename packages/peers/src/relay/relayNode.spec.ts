import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import type { PerTarget, FleetTargetStats, InstanceRecord, TargetCounters } from '@lovagehoist/common'
import { silentLog } from '@lovagehoist/common'
import type { Datagrams } from './datagrams.js'
import { decodeMessage } from './messages.js'
import { RelayNode } from './relayNode.js'

type Listener = (bytes: Uint8Array, host: string) => void

/** Datagrams between nodes in one process; some can be lost. */
class Network {
  private readonly listeners = new Map<string, Listener>()
  isLost: (bytes: Uint8Array, from: string, to: string) => boolean = () => false
  sentBytes = 0

  at (host: string): Datagrams {
    return {
      send: (to, bytes) => {
        this.sentBytes += bytes.length
        if (!this.isLost(bytes, host, to)) this.listeners.get(to)?.(bytes, host)
      },
      onDatagram: listener => { this.listeners.set(host, listener) },
      close: () => {}
    }
  }
}

const tally = (change: Partial<TargetCounters>): TargetCounters => ({ inProgress: 0, succeeded: 0, failed: 0, failedEarly: 0, refused: 0, latencySquares: 0, ...change })

/** A node with scripted tallies that records what it learns. */
class Node {
  tallies: PerTarget<TargetCounters> = []
  readonly views: Array<PerTarget<FleetTargetStats>> = []
  readonly reports: Array<{ readonly startId: string, readonly tallies: PerTarget<TargetCounters>, readonly isFull: boolean }> = []
  readonly zones: string[] = []
  /** Times that all tallies were taken as reported. */
  fullTakes = 0
  notify: (isUrgent: boolean) => void = () => {}
  readonly relay: RelayNode

  constructor (readonly self: InstanceRecord, network: Network, clock: ManualClock, others: readonly InstanceRecord[]) {
    this.relay = RelayNode.create({
      self,
      bootstrapHosts: () => [],
      clock,
      log: silentLog,
      datagrams: network.at(self.host),
      own: {
        onChange: listener => { this.notify = listener },
        takeTallies: changedWithinMs => {
          if (changedWithinMs === undefined) this.fullTakes++
          return this.tallies
        },
        countTallies: () => this.tallies.length,
        takeFleet: readings => { this.views.push(readings) }
      },
      ledger: {
        takeDaemon: (startId, tallies, isFull) => this.reports.push({ startId, tallies, isFull }) > 0 && tallies.some(([, { failed }]) => failed > 0),
        takeZone: zone => this.zones.push(zone) < 0,
        zoneTallies: () => this.tallies,
        readings: () => this.reports.at(-1)?.tallies.map(([id, { inProgress }]) => [id, { inProgress, failingChance: 0.5, refusalShare: 0, latencyMs: 0 }]) ?? [],
        sweep: () => {}
      },
      crashes: { takeCrashes: () => [], takeFleetCrashes: () => {} },
      facts: () => ({ configVersion: 0, listingDigest: '', listingVersion: -1, listingAgeMs: 0 }),
      onFacts: () => {}
    })
    this.relay.roster.learn(others)
  }
}

const record = (instanceId: string, availabilityZone: string, last: number): InstanceRecord =>
  ({ instanceId, startId: `start-${instanceId}`, host: `10.0.0.${last}`, availabilityZone, relayFitness: 1 })

describe('relays', () => {
  const RECORDS = [record('a1', 'a', 1), record('a2', 'a', 2), record('a3', 'a', 3), record('b1', 'b', 4), record('b2', 'b', 5)]
  let clock: ManualClock
  let network: Network
  let nodes: readonly Node[]
  let stopping: AbortController

  const node = (name: string): Node => nodes.find(({ self }) => self.instanceId === name) as Node

  const start = (): void => {
    for (const { relay } of nodes) relay.run(stopping.signal).catch(() => {})
  }

  beforeEach(() => {
    clock = ManualClock.create()
    network = new Network()
    stopping = new AbortController()
    nodes = RECORDS.map(self => new Node(self, network, clock, RECORDS))
  })

  afterEach(() => { stopping.abort() })

  it('are the first two of a zone, and get all that its daemons do', async () => {
    start()
    node('a3').tallies = [['t1', tally({ inProgress: 2 })]]
    await clock.advanceMs(1_500)
    expect(nodes.map(({ relay }) => relay.relayRank)).to.deep.equal([0, 1, -1, 0, 1])
    for (const name of ['a1', 'a2']) expect(node(name).reports.some(({ startId, tallies }) => startId === 'start-a3' && tallies.length === 1)).to.equal(true)
    expect(node('a3').views.some(readings => readings.length > 0)).to.equal(true)
  })

  it('get a full report although the first one is lost', async () => {
    network.isLost = (_bytes, from) => from === '10.0.0.3' && clock.monotonicMs() < 100
    node('a3').tallies = [['t1', tally({ succeeded: 3 })]]
    start()
    await clock.advanceMs(3_000)
    expect(node('a1').reports.some(({ startId, isFull }) => startId === 'start-a3' && isFull)).to.equal(true)
  })

  it('take all tallies of a daemon with many targets only for reports that have them all', async () => {
    node('a3').tallies = Array.from({ length: 100 }, (_, index) => [`t${index}`, tally({ succeeded: 1 })])
    start()
    await clock.advanceMs(5_000)
    const full = node('a3').reports.filter(({ startId, isFull }) => startId === 'start-a3' && isFull).length
    expect(node('a3').fullTakes).to.equal(full)
  })

  it('are passed over when they do not answer', async () => {
    network.isLost = (_bytes, from, to) => from === '10.0.0.1' || to === '10.0.0.1'
    start()
    await clock.advanceMs(2_000)
    expect(node('a3').relay.roster.relays('a').map(({ instanceId }) => instanceId)).to.deep.equal(['a2', 'a3'])
  })

  it('pass the sums of their zone on to the others', async () => {
    start()
    await clock.advanceMs(2_000)
    expect(node('b1').zones).to.include('a start-a1')
    expect(node('a1').zones).to.include('b start-b1')
  })

  it('tell of a failure within some milliseconds', async () => {
    start()
    await clock.advanceMs(2_000)
    node('a3').tallies = [['t1', tally({ failed: 1 })]]
    node('a2').views.splice(0)
    node('a3').notify(true)
    await clock.advanceMs(15)
    expect(node('a1').reports.findLast(({ startId }) => startId === 'start-a3')?.tallies).to.have.length(1)
  })

  it('spend few bytes while nothing happens', async () => {
    start()
    await clock.advanceMs(5_000)
    network.sentBytes = 0
    await clock.advanceMs(10_000)
    expect(network.sentBytes / nodes.length / 10).to.be.below(5_000)
  })

  it('take no message that they can not read', () => {
    expect(decodeMessage(Buffer.from('{"method":"report","params":{"from":[1]}}'))).to.equal(undefined)
    expect(decodeMessage(Buffer.from('{"method":"constructor","params":{}}'))).to.equal(undefined)
    expect(decodeMessage(Buffer.from([0xff, 0x00]))).to.equal(undefined)
  })
})
