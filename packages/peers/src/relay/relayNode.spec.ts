import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import type { PerTarget, FleetTargetStats, InstanceRecord, IssuerRole, TargetCounters } from '@lovagehoist/common'
import { silentLog } from '@lovagehoist/common'
import type { Datagrams } from './datagrams.js'
import { decodeMessage, encodeMessage } from './messages.js'
import { RelayNode } from './relayNode.js'

type Listener = (bytes: Uint8Array, host: string) => void

/** In-memory network between daemons; `isLost` selects datagrams to drop. */
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

const targetCounters = (change: Partial<TargetCounters>): TargetCounters => ({ inProgress: 0, succeeded: 0, failed: 0, failedLate: 0, failedEarly: 0, refused: 0, latencySquares: 0, ...change })

/** Daemon with scripted counters that records the reports, zone totals and views it receives. */
class TestDaemon {
  counters: PerTarget<TargetCounters> = []
  readonly views: Array<PerTarget<FleetTargetStats>> = []
  readonly reports: Array<{ readonly startId: string, readonly counters: PerTarget<TargetCounters>, readonly isFull: boolean }> = []
  readonly zones: string[] = []
  readonly roles: IssuerRole[] = []
  /** How often all counters were collected, which marks them as reported. */
  fullCollections = 0
  notify: (isUrgent: boolean) => void = () => {}
  readonly relay: RelayNode

  constructor (readonly self: InstanceRecord, network: Network, clock: ManualClock, peers: readonly InstanceRecord[]) {
    this.relay = RelayNode.create({
      self,
      bootstrapHosts: () => [],
      clock,
      log: silentLog,
      datagrams: network.at(self.host),
      localCounters: {
        onChange: listener => { this.notify = listener },
        collectCounters: changedWithinMs => {
          if (changedWithinMs === undefined) this.fullCollections++
          return this.counters
        },
        countTargets: () => this.counters.length,
        applyFleetStats: stats => { this.views.push(stats) }
      },
      fleetStats: {
        applyDaemonReport: (startId, counters, isFull) => this.reports.push({ startId, counters, isFull }) > 0 && counters.some(([, { failed }]) => failed > 0),
        applyZoneReport: zone => this.zones.push(zone) < 0,
        ownZoneCounters: () => this.counters,
        targetStats: () => this.reports.at(-1)?.counters.map(([id, { inProgress }]) => [id, { inProgress, failingChance: 0.5, refusalShare: 0, latencyMs: 0, idleMs: 0 }]) ?? [],
        sweep: () => {}
      },
      news: [],
      limits: {
        onChange: () => {},
        report: () => ({ limits: [], demand: [], settled: [] }),
        applyReport: () => false,
        zoneLimits: () => ({ limits: [], demand: [] }),
        applyZoneLimits: () => false,
        view: role => {
          this.roles.push(role)
          return { limits: [], permits: [] }
        },
        applyView: () => {}
      },
      heldVersions: () => ({ configVersion: 0, listingDigest: '', listingVersion: -1, listingAgeMs: 0, configAgeMs: 0 }),
      onReportedReads: () => false,
      onPeerVersions: () => {}
    })
    this.relay.peers.addKnown(peers)
  }
}

const record = (instanceId: string, availabilityZone: string, last: number): InstanceRecord =>
  ({ instanceId, startId: `start-${instanceId}`, host: `10.0.0.${last}`, availabilityZone, relayFitness: 1 })

describe('RelayNode', () => {
  const RECORDS = [record('a1', 'a', 1), record('a2', 'a', 2), record('a3', 'a', 3), record('b1', 'b', 4), record('b2', 'b', 5)]
  let clock: ManualClock
  let network: Network
  let daemons: readonly TestDaemon[]
  let stopping: AbortController

  const daemon = (name: string): TestDaemon => daemons.find(({ self }) => self.instanceId === name) as TestDaemon

  const start = (): void => {
    for (const { relay } of daemons) relay.run(stopping.signal).catch(() => {})
  }

  beforeEach(() => {
    clock = ManualClock.create()
    network = new Network()
    stopping = new AbortController()
    daemons = RECORDS.map(self => new TestDaemon(self, network, clock, RECORDS))
  })

  afterEach(() => { stopping.abort() })

  it('makes the first two daemons of a zone its relays, which receive the reports of the zone', async () => {
    start()
    daemon('a3').counters = [['t1', targetCounters({ inProgress: 2 })]]
    await clock.advanceMs(1_500)
    expect(daemons.map(({ relay }) => relay.relayRank)).to.deep.equal([0, 1, -1, 0, 1])
    for (const name of ['a1', 'a2']) expect(daemon(name).reports.some(({ startId, counters }) => startId === 'start-a3' && counters.length === 1)).to.equal(true)
    expect(daemon('a3').views.some(stats => stats.length > 0)).to.equal(true)
  })

  it('repeats a full report so that relays get one even if the first is lost', async () => {
    network.isLost = (_bytes, from) => from === '10.0.0.3' && clock.monotonicMs() < 100
    daemon('a3').counters = [['t1', targetCounters({ succeeded: 3 })]]
    start()
    await clock.advanceMs(3_000)
    expect(daemon('a1').reports.some(({ startId, isFull }) => startId === 'start-a3' && isFull)).to.equal(true)
  })

  it('collects all counters only for full reports when there are many targets', async () => {
    daemon('a3').counters = Array.from({ length: 100 }, (_, index) => [`t${index}`, targetCounters({ succeeded: 1 })])
    start()
    await clock.advanceMs(5_000)
    const full = daemon('a3').reports.filter(({ startId, isFull }) => startId === 'start-a3' && isFull).length
    expect(daemon('a3').fullCollections).to.equal(full)
  })

  it('excludes an unresponsive daemon from the relays', async () => {
    network.isLost = (_bytes, from, to) => from === '10.0.0.1' || to === '10.0.0.1'
    start()
    await clock.advanceMs(2_000)
    expect(daemon('a3').relay.peers.relays('a').map(({ instanceId }) => instanceId)).to.deep.equal(['a2', 'a3'])
  })

  it('makes one relay of a zone the issuer of permits, and the next one once it has fallen silent', async () => {
    start()
    await clock.advanceMs(2_000)
    const issuers = (): readonly string[] => daemons.filter(({ roles }) => roles.at(-1)?.isIssuer === true).map(({ self }) => self.instanceId)
    expect(issuers()).to.deep.equal(['a1', 'b1'])
    network.isLost = (_bytes, from, to) => from === '10.0.0.1' || to === '10.0.0.1'
    await clock.advanceMs(1_500)
    expect(issuers()).to.include('a2')
    const before = daemon('a2').roles.length
    await clock.advanceMs(10_000)
    expect(daemon('a2').roles.slice(before).every(({ isIssuer }) => isIssuer)).to.equal(true)
  })

  it('sends zone totals from the first relay of each zone to the other zones', async () => {
    start()
    await clock.advanceMs(2_000)
    expect(daemon('b1').zones).to.include('a start-a1')
    expect(daemon('a1').zones).to.include('b start-b1')
  })

  it('forwards a failure within 15 milliseconds', async () => {
    start()
    await clock.advanceMs(2_000)
    daemon('a3').counters = [['t1', targetCounters({ failed: 1 })]]
    daemon('a2').views.splice(0)
    daemon('a3').notify(true)
    await clock.advanceMs(15)
    expect(daemon('a1').reports.findLast(({ startId }) => startId === 'start-a3')?.counters).to.have.length(1)
  })

  it('tells other zones within 15 milliseconds that a target is in use again', async () => {
    start()
    const a1 = daemon('a1')
    await clock.advanceMs(2_050)
    a1.counters = [['t1', targetCounters({ succeeded: 1 })]]
    await clock.advanceMs(200)
    const before = daemon('b1').zones.length
    a1.counters = [['t1', targetCounters({ succeeded: 1, inProgress: 1 })]]
    a1.notify(true)
    await clock.advanceMs(15)
    expect(daemon('b1').zones.slice(before)).to.include('a start-a1')
  })

  it('sends less than 5 kB a second per daemon while idle', async () => {
    start()
    await clock.advanceMs(5_000)
    network.sentBytes = 0
    await clock.advanceMs(10_000)
    expect(network.sentBytes / daemons.length / 10).to.be.below(5_000)
  })

  it('sends nothing after its last report, when requests that are still in progress fail', async () => {
    start()
    await clock.advanceMs(2_000)
    stopping.abort()
    await clock.advanceMs(200)
    network.sentBytes = 0
    daemon('a3').notify(true)
    await clock.advanceMs(200)
    expect(network.sentBytes).to.equal(0)
  })

  it('does not take messages for recent ones that waited while the process was paused', async () => {
    start()
    await clock.advanceMs(2_000)
    const waiting = encodeMessage({ type: 'report', from: daemon('a3').self, isFull: false, isLeaving: false, uptimeMs: 1, counters: [['t1', targetCounters({ inProgress: 1 })]], news: {}, limits: { limits: [], demand: [], settled: [] } })
    clock.jumpMs(4_000)
    const before = daemon('a1').reports.length
    for (const bytes of waiting) network.at('10.0.0.3').send('10.0.0.1', bytes)
    expect(daemon('a1').reports.slice(before).filter(({ startId }) => startId === 'start-a3')).to.deep.equal([])
    await clock.advanceMs(1_000)
    expect(daemon('a1').reports.slice(before).some(({ startId }) => startId === 'start-a3')).to.equal(true)
  })

  it('rejects undecodable datagrams', () => {
    expect(decodeMessage(Buffer.from('{"method":"report","params":{"from":[1]}}'))).to.equal(undefined)
    expect(decodeMessage(Buffer.from('{"method":"constructor","params":{}}'))).to.equal(undefined)
    expect(decodeMessage(Buffer.from([0xff, 0x00]))).to.equal(undefined)
  })
})
