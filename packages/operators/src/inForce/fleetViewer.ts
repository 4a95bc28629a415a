import PQueue from 'p-queue'
import type { Clock, Member, PeerBus, Random } from '@lovagehoist/common'
import type { ConfigFollower } from '../follow/configFollower.js'
import { askVersion } from '../follow/peerVersions.js'
import { viewFleet } from './fleetView.js'
import type { FleetView } from './fleetView.js'

/** What viewing the fleet needs. */
export interface FleetViewerOptions {
  readonly environment: string
  readonly config: ConfigFollower
  readonly bus: PeerBus
  readonly clock: Clock
  readonly random: Random
}

/** What a process told when it was asked; its version only grows. */
interface Told {
  readonly startId: string
  readonly version: number
  readonly digest: string
}

const ASKED_AT_ONCE = 8
/** Pause before the same instance is asked again. */
const ASK_PAUSE_MS = 500

/** Shows which configuration each instance holds; asks those whose heartbeats tell of an earlier one. */
export class FleetViewer {
  private readonly told = new Map<string, Told>()
  private readonly askedAtMs = new Map<string, number>()
  private readonly queue = new PQueue({ concurrency: ASKED_AT_ONCE })

  private constructor (private readonly options: FleetViewerOptions) {}

  /**
   * Creates a viewer.
   *
   * @param options - Configuration held here and communication between daemons.
   * @returns The viewer.
   */
  static create (options: FleetViewerOptions): FleetViewer {
    return new FleetViewer(options)
  }

  /**
   * Shows what is known now; answers of instances that are asked show in later views.
   *
   * @returns The view.
   */
  readonly view = (): FleetView => {
    const { environment, config, bus } = this.options
    const members = bus.members().map(member => this.withTold(member))
    for (const id of this.told.keys()) if (!members.some(member => member.instanceId === id)) this.told.delete(id)
    const heldVersion = config.current()?.version ?? 0
    for (const member of members) if (member.status === 'reachable' && member.configVersion < heldVersion) this.ask(member)
    return viewFleet({ environment, config, self: bus.self, members })
  }

  private withTold (member: Member): Member {
    const told = this.told.get(member.instanceId)
    if (told === undefined || told.startId !== member.startId || told.version <= member.configVersion) return member
    return { ...member, configVersion: told.version, configDigest: told.digest }
  }

  private ask ({ instanceId, startId }: Member): void {
    const { clock } = this.options
    if (clock.monotonicMs() - (this.askedAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY) < ASK_PAUSE_MS) return
    this.askedAtMs.set(instanceId, clock.monotonicMs())
    this.queue.add(async () => {
      const answer = await askVersion(this.options, instanceId)
      if (answer !== undefined) this.told.set(instanceId, { startId, version: answer.version, digest: answer.digest })
      else this.askedAtMs.delete(instanceId)
    }).catch(() => {})
  }
}
