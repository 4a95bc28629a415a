import PQueue from 'p-queue'
import type { Clock, Member, PeerBus, Random } from '@lovagehoist/common'
import type { ConfigFollower } from '../follow/configFollower.js'
import { queryVersion } from '../follow/peerVersions.js'
import { viewFleet } from './fleetView.js'
import type { FleetView } from './fleetView.js'

/** Configuration held here, and the peer bus, for viewing the fleet. */
export interface FleetViewerOptions {
  readonly environment: string
  readonly config: ConfigFollower
  readonly bus: PeerBus
  readonly clock: Clock
  readonly random: Random
}

/** Version that a process returned to a query; within one process it only grows. */
interface QueriedVersion {
  readonly startId: string
  readonly version: number
  readonly digest: string
}

const MAX_CONCURRENT_QUERIES = 2
/** Time for heartbeats to show a new version before lagging instances are queried. */
const QUERY_AFTER_MS = 1_500
/** Shortest time between two queries of the same instance. */
const QUERY_INTERVAL_MS = 2_000

/** Creates views of the configuration on each instance; queries instances whose heartbeats show an older version. */
export class FleetViewer {
  private readonly queriedVersions = new Map<string, QueriedVersion>()
  private readonly queriedAtMs = new Map<string, number>()
  private heldVersion = 0
  private heldSinceMs = 0
  private readonly queue = new PQueue({ concurrency: MAX_CONCURRENT_QUERIES })

  private constructor (private readonly options: FleetViewerOptions) {}

  /**
   * Creates a viewer.
   *
   * @param options - Configuration held here, and the peer bus.
   * @returns The viewer.
   */
  static create (options: FleetViewerOptions): FleetViewer {
    return new FleetViewer(options)
  }

  /**
   * Returns what is known now, and starts queries whose results appear in later views.
   *
   * @returns The view.
   */
  readonly view = (): FleetView => {
    const { environment, config, bus } = this.options
    const members = bus.members().map(member => this.withQueriedVersion(member))
    for (const id of this.queriedVersions.keys()) if (!members.some(member => member.instanceId === id)) this.queriedVersions.delete(id)
    this.queryLagging(members)
    return viewFleet({ environment, config, self: bus.self, members })
  }

  private queryLagging (members: readonly Member[]): void {
    const { config, clock } = this.options
    const heldVersion = config.current()?.version ?? 0
    const nowMs = clock.monotonicMs()
    if (heldVersion !== this.heldVersion) this.heldSinceMs = nowMs
    this.heldVersion = heldVersion
    if (nowMs - this.heldSinceMs < QUERY_AFTER_MS) return
    for (const member of members) {
      if (this.queue.size + this.queue.pending >= MAX_CONCURRENT_QUERIES) return
      if (member.status === 'reachable' && member.configVersion < heldVersion) this.query(member)
    }
  }

  private withQueriedVersion (member: Member): Member {
    const queried = this.queriedVersions.get(member.instanceId)
    if (queried === undefined || queried.startId !== member.startId || queried.version <= member.configVersion) return member
    return { ...member, configVersion: queried.version, configDigest: queried.digest }
  }

  private query ({ instanceId, startId }: Member): void {
    const { clock } = this.options
    if (clock.monotonicMs() - (this.queriedAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY) < QUERY_INTERVAL_MS) return
    this.queriedAtMs.set(instanceId, clock.monotonicMs())
    this.queue.add(async () => {
      const peerVersion = await queryVersion(this.options, instanceId)
      if (peerVersion !== undefined) this.queriedVersions.set(instanceId, { startId, version: peerVersion.version, digest: peerVersion.digest })
    }).catch(() => {})
  }
}
