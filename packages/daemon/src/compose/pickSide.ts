import type { AttemptSink, ConfigSource, HealthView, PeerBus, Settings, StateSource, TargetDirectory, TargetPicker, TargetSender } from '@lovagehoist/common'
import { CachedDaemonList, EventWarmer, LeastLoadedPicker, PickMetrics, SharedPicker, SubsetView, TwoChoicesPicker } from '@lovagehoist/targets'
import type { PlannedDaemon, SharePolicy } from '@lovagehoist/targets'
import type { Base, Task } from './base.js'

/** What the pick side is composed from. */
export interface PickSideOptions {
  readonly base: Base
  readonly config: ConfigSource
  readonly bus: PeerBus
  readonly directory: TargetDirectory
  readonly sender: TargetSender
  readonly health: HealthView
}

/** Parts that choose targets. */
export interface PickSide {
  readonly picker: TargetPicker
  /** Learns from the ends of exchanges which targets are full. */
  readonly feedback: AttemptSink
  /** Requests of a service that this daemon may run at once now. */
  readonly capacity: (service: string) => number
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
}

type SlotMechanism = Settings['mechanisms']['slots']

const DEFAULT_CONNECTIONS_PER_TARGET = 300
/** Connections opened ahead to one target. */
const MAX_WARM_CONNECTIONS = 3

const readDaemons = ({ base, bus }: PickSideOptions): readonly PlannedDaemon[] => {
  const { instanceId: id, availabilityZone } = base.identity
  const others = bus.members().filter(member => member.status === 'reachable' || member.status === 'suspect')
  return [{ id, availabilityZone }, ...others.map(other => ({ id: other.instanceId, availabilityZone: other.availabilityZone }))]
}

const createWarmer = ({ base, config, sender }: PickSideOptions, subsets: SubsetView): EventWarmer => {
  const { clock, log } = base
  const plan = (service: string) => {
    const { targets, size, maxInFlightPerTarget } = subsets.rank(service)
    return { targets: targets.slice(0, size), connectionsPerTarget: Math.min(MAX_WARM_CONNECTIONS, maxInFlightPerTarget) }
  }
  return EventWarmer.create({ clock, log: log.child('events'), config, sender, plan })
}

const createSharedSide = (options: PickSideOptions, policy: SharePolicy): PickSide => {
  const { base, config, directory, health } = options
  const serviceConfig = (service: string) => config.current()?.document.services[service]
  const { daemons } = CachedDaemonList.create(base.clock, () => readDaemons(options))
  const subsets = SubsetView.create({
    selfId: base.identity.instanceId,
    directory,
    daemons,
    connectionsPerTarget: service => serviceConfig(service)?.connectionsPerTarget ?? DEFAULT_CONNECTIONS_PER_TARGET
  })
  const picker = SharedPicker.create({
    clock: base.clock,
    random: base.random,
    health,
    subsets,
    policy,
    daemonCount: () => base.settings.mechanisms.control === 'off' ? undefined : daemons().length,
    serviceConfig,
    invariants: base.invariants,
    metrics: PickMetrics.create(base.registry)
  })
  const warmer = createWarmer(options, subsets)
  return {
    picker,
    feedback: picker,
    capacity: picker.capacity,
    tasks: [async signal => { await warmer.run(signal) }],
    sources: [{ name: 'slots', dump: () => picker.dump() }]
  }
}

const createAloneSide = (options: PickSideOptions, picker: TargetPicker): PickSide => {
  const capacity = (service: string): number => options.directory.targets(service).reduce((sum, target) => sum + target.slots, 0)
  return { picker, feedback: { record: () => {} }, capacity, tasks: [], sources: [] }
}

const SIDES: Readonly<Record<SlotMechanism, (options: PickSideOptions) => PickSide>> = {
  shared: options => createSharedSide(options, 'shared'),
  learned: options => createSharedSide(options, 'learned'),
  counted: options => createSharedSide(options, 'counted'),
  'least-loaded': options => createAloneSide(options, LeastLoadedPicker.create(options)),
  'two-choices': options => createAloneSide(options, TwoChoicesPicker.create({ ...options, random: options.base.random }))
}

/**
 * Composes the parts that choose targets.
 *
 * @param options - What they need.
 * @returns The parts.
 */
export const createPickSide = (options: PickSideOptions): PickSide => SIDES[options.base.settings.mechanisms.slots](options)
