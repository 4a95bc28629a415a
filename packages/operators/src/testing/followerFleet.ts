import { Invariants, LocalStatus, SeededRandom, createRegistry, silentLog } from '@lovagehoist/common'
import type { InstanceIdentity, InvariantBreach, JsonValue } from '@lovagehoist/common'
import { FakePeerNetwork, FakePlatform, ManualClock } from '@lovagehoist/common/fakes'
import type { FakePlatformFaults } from '@lovagehoist/common/fakes'
import { ConfigFollower } from '../follow/configFollower.js'
import { FleetViewer } from '../inForce/fleetViewer.js'
import type { FleetView } from '../inForce/fleetView.js'
import { ProcessPause, pausableBus, pausableClock, pausablePlatform } from './pausableProcess.js'

/** Environment that the simulated daemons follow. */
export const ENVIRONMENT = 'production'

const ZONES = ['a', 'b', 'c'] as const
const POLL_MS = 1_500

/** One simulated daemon, reduced to its configuration follower. */
export interface FleetInstance {
  readonly identity: InstanceIdentity
  readonly follower: ConfigFollower
  readonly faults: FakePlatformFaults
  readonly pause: ProcessPause
  readonly view: () => FleetView
  readonly stop: () => void
}

/** Creates a test document whose content differs by a number. */
export const numberedDocument = (number: number): Buffer => Buffer.from(JSON.stringify({
  schemaVersion: 1,
  deployment: `fleet-${number}`,
  services: { burnbook: { plannedTargets: 4, slotsPerTarget: 6, floorSlots: 12, connectionsPerTarget: 300 } },
  routes: [{ id: 'burns', methods: ['GET'], path: '/burns/:id', service: 'burnbook', isIdempotent: true }]
} satisfies JsonValue))

/** Real configuration followers on a fake platform and a fake peer network. */
export class FollowerFleet {
  readonly clock = ManualClock.create()
  readonly platform = FakePlatform.create(this.clock)
  readonly network = FakePeerNetwork.create(this.clock)
  readonly instances: FleetInstance[] = []
  readonly breaches: InvariantBreach[] = []
  private readonly cutLinks = new Set<string>()
  private startCount = 0

  private constructor (private readonly seed: number) {}

  /** Creates a fleet of running followers. */
  static create (size: number, seed = 1): FollowerFleet {
    const fleet = new FollowerFleet(seed)
    for (let index = 0; index < size; index++) fleet.instances.push(fleet.start(index))
    return fleet
  }

  /** Replaces an instance by a new process without state; its platform faults stay. */
  replace (index: number): void {
    const before = this.instances[index]
    before?.stop()
    this.instances[index] = this.start(index, before?.faults)
    this.applyLinks()
  }

  setPaused (index: number, isPaused: boolean): void {
    this.instances[index]?.pause.setPaused(isPaused)
    this.applyLinks()
  }

  setLinkCut (from: number, to: number, isCut: boolean): void {
    if (isCut) this.cutLinks.add(`${from}>${to}`)
    else this.cutLinks.delete(`${from}>${to}`)
    this.applyLinks()
  }

  /** Partitions some instances from the platform and from all others, but not from each other. */
  isolate (indexes: readonly number[]): void {
    for (const [index, { faults }] of this.instances.entries()) {
      if (indexes.includes(index)) faults.isDown = true
      for (const other of this.instances.keys()) {
        if (indexes.includes(index) !== indexes.includes(other)) this.cutLinks.add(`${index}>${other}`)
      }
    }
    this.applyLinks()
  }

  /** Ends all faults and resumes every paused process. */
  clearFaults (): void {
    this.cutLinks.clear()
    for (const [index, { faults }] of this.instances.entries()) {
      Object.assign(faults, { isDown: false, isReplicaStale: false })
      this.setPaused(index, false)
    }
  }

  stop (): void {
    for (const { stop } of this.instances) stop()
  }

  private applyLinks (): void {
    const isPaused = (index: number): boolean => this.instances[index]?.pause.isPaused === true
    for (const [from, a] of this.instances.entries()) {
      for (const [to, b] of this.instances.entries()) {
        this.network.setLink(a.identity.instanceId, b.identity.instanceId, this.cutLinks.has(`${from}>${to}`) || isPaused(from) || isPaused(to))
      }
    }
  }

  private start (index: number, previousFaults: Partial<FakePlatformFaults> = {}): FleetInstance {
    const identity: InstanceIdentity = { instanceId: `daemon-${index}`, startId: `start-${this.startCount++}`, region: 'local', availabilityZone: ZONES[index % ZONES.length] ?? 'a' }
    const { platform, faults } = this.platform.connect()
    Object.assign(faults, previousFaults)
    const status = LocalStatus.create()
    const pause = new ProcessPause()
    const clock = pausableClock(this.clock, pause)
    const bus = pausableBus(this.network.join(identity, status), clock, pause)
    const registry = createRegistry({})
    const invariants = Invariants.create({ clock, log: silentLog, registry, onBreach: breach => { this.breaches.push(breach) } })
    const follower = ConfigFollower.create({
      environment: ENVIRONMENT,
      platform: pausablePlatform(platform, pause),
      bus,
      status,
      clock,
      random: SeededRandom.create(this.seed + this.startCount),
      log: silentLog,
      invariants,
      registry,
      pollMs: POLL_MS,
      isAlone: false
    })
    const stopping = new AbortController()
    follower.run(stopping.signal).catch(error => { throw error })
    return { identity, follower, faults, pause, view: FleetViewer.create({ environment: ENVIRONMENT, config: follower, bus, clock, random: SeededRandom.create(this.seed) }).view, stop: () => { stopping.abort() } }
  }
}
