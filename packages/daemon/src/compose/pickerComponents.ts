import type { AttemptSink, ConfigSource, HealthView, PeerBus, Settings, StateSource, TargetDirectory, TargetPicker, TargetSender } from '@lovagehoist/common'
import { CachedDaemonList, EventWarmer, LeastLoadedPicker, PickMetrics, SharedPicker, SubsetView, TwoChoicesPicker } from '@lovagehoist/targets'
import type { PlannedDaemon, SharePolicy } from '@lovagehoist/targets'
import type { DaemonContext, BackgroundTask } from './daemonContext.js'

/** Inputs of the picker components. */
export interface PickerComponentsOptions {
  readonly context: DaemonContext
  readonly config: ConfigSource
  readonly bus: PeerBus
  readonly directory: TargetDirectory
  readonly sender: TargetSender
  readonly health: HealthView
}

/** Components that select targets for requests. */
export interface PickerComponents {
  readonly picker: TargetPicker
  /** Receives the outcome of each attempt, from which the picker finds out which targets are full. */
  readonly attemptSink: AttemptSink
  /** Number of requests of a service that this daemon may have in flight now. */
  readonly capacity: (service: string) => number
  readonly tasks: readonly BackgroundTask[]
  readonly sources: readonly StateSource[]
}

type SlotMechanism = Settings['mechanisms']['slots']

const DEFAULT_CONNECTIONS_PER_TARGET = 300
/** Most connections opened to one target ahead of an event. */
const MAX_WARM_CONNECTIONS = 3

const listReachableDaemons = ({ context, bus }: PickerComponentsOptions): readonly PlannedDaemon[] => {
  const { instanceId: id, availabilityZone } = context.identity
  const others = bus.members().filter(member => member.status === 'reachable' || member.status === 'suspect')
  return [{ id, availabilityZone }, ...others.map(other => ({ id: other.instanceId, availabilityZone: other.availabilityZone }))]
}

const createWarmer = ({ context, config, sender }: PickerComponentsOptions, subsets: SubsetView): EventWarmer => {
  const { clock, log } = context
  const plan = (service: string) => {
    const { targets, size, maxInFlightPerTarget } = subsets.rank(service)
    return { targets: targets.slice(0, size), connectionsPerTarget: Math.min(MAX_WARM_CONNECTIONS, maxInFlightPerTarget) }
  }
  return EventWarmer.create({ clock, log: log.child('events'), config, sender, plan })
}

const createCoordinatedComponents = (options: PickerComponentsOptions, policy: SharePolicy): PickerComponents => {
  const { context, config, directory, health } = options
  const serviceConfig = (service: string) => config.current()?.document.services[service]
  const { daemons } = CachedDaemonList.create(context.clock, () => listReachableDaemons(options))
  const subsets = SubsetView.create({
    selfId: context.identity.instanceId,
    directory,
    daemons,
    connectionsPerTarget: service => serviceConfig(service)?.connectionsPerTarget ?? DEFAULT_CONNECTIONS_PER_TARGET
  })
  const picker = SharedPicker.create({
    clock: context.clock,
    random: context.random,
    health,
    subsets,
    policy,
    daemonCount: () => context.settings.mechanisms.control === 'off' ? undefined : daemons().length,
    serviceConfig,
    invariants: context.invariants,
    metrics: PickMetrics.create(context.registry)
  })
  const warmer = createWarmer(options, subsets)
  return {
    picker,
    attemptSink: picker,
    capacity: picker.capacity,
    tasks: [async signal => { await warmer.run(signal) }],
    sources: [{ name: 'slots', dump: () => picker.dump() }]
  }
}

const createIndependentComponents = (options: PickerComponentsOptions, picker: TargetPicker): PickerComponents => {
  const capacity = (service: string): number => options.directory.targets(service).reduce((sum, target) => sum + target.slots, 0)
  return { picker, attemptSink: { record: () => {} }, capacity, tasks: [], sources: [] }
}

const FACTORIES: Readonly<Record<SlotMechanism, (options: PickerComponentsOptions) => PickerComponents>> = {
  shared: options => createCoordinatedComponents(options, 'shared'),
  learned: options => createCoordinatedComponents(options, 'learned'),
  counted: options => createCoordinatedComponents(options, 'counted'),
  'least-loaded': options => createIndependentComponents(options, LeastLoadedPicker.create(options)),
  'two-choices': options => createIndependentComponents(options, TwoChoicesPicker.create({ ...options, random: options.context.random }))
}

/**
 * Creates the components that select targets for requests.
 *
 * @param options - Shared services and the components that selection uses.
 * @returns The components.
 */
export const createPickerComponents = (options: PickerComponentsOptions): PickerComponents => FACTORIES[options.context.settings.mechanisms.slots](options)
