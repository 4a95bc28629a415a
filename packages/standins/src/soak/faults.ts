import type { Random } from '@lovagehoist/common'
import type { Fleet, FleetTarget } from '../measure/fleet.js'
import type { DaemonProcess } from '../process/daemonProcess.js'
import type { BreakPoint, TargetBehaviour } from '../target/behaviour.js'
import { HEALTHY_BEHAVIOUR } from '../target/behaviour.js'
import type { EndFault, StartFault as StartFaultIn } from './faultLoop.js'

/** What a fault acts on. */
export interface FaultWorld {
  readonly fleet: Fleet
  readonly random: Random
  /** Targets that run and that no fault has removed. */
  readonly targets: FleetTarget[]
  /** Daemons that run and take requests. */
  readonly daemons: DaemonProcess[]
  /** Address that callers reach each of them at, by instance id. */
  readonly urls: Map<string, string>
  /** Promotes a document with a small change; two at once when asked for a race. */
  readonly promote: () => Promise<void>
  /** Starts another daemon and lets it take requests. */
  readonly addDaemon: () => Promise<void>
}

/** Starts a fault. */
type StartFault = StartFaultIn<FaultWorld>

const BREAK_POINTS: readonly BreakPoint[] = ['after-accept', 'after-head', 'mid-body', 'after-body', 'after-run', 'after-status', 'mid-answer', 'before-last-byte']
const MIN_DAEMONS = 2
const MIN_TARGETS_OF_SERVICE = 5
const nothing: EndFault = async () => {}

const pickOne = <T>(random: Random, items: readonly T[]): T | undefined => items.length === 0 ? undefined : items[random.int(items.length)]

const withBehaviour = (change: (random: Random) => Partial<TargetBehaviour>): StartFault => async ({ targets, random }) => {
  const target = pickOne(random, targets)
  if (target === undefined) return nothing
  const changed = change(random)
  await target.host.setTarget(target.entry.id, changed)
  const before = Object.fromEntries(Object.keys(changed).map(key => [key, HEALTHY_BEHAVIOUR[key as keyof TargetBehaviour]]))
  return async () => { await target.host.setTarget(target.entry.id, before) }
}

const withPlatform = (on: Parameters<Fleet['platformHost']['setPlatform']>[0], off: typeof on): StartFault => async ({ fleet }) => {
  await fleet.platformHost.setPlatform(on)
  return async () => { await fleet.platformHost.setPlatform(off) }
}

const takeDaemon = (world: FaultWorld): DaemonProcess | undefined => {
  if (world.daemons.length <= MIN_DAEMONS) return undefined
  const daemon = pickOne(world.random, world.daemons)
  if (daemon !== undefined) world.daemons.splice(world.daemons.indexOf(daemon), 1)
  return daemon
}

const endDaemon = (signal: 'SIGKILL' | 'SIGTERM'): StartFault => async world => {
  const daemon = takeDaemon(world)
  if (daemon === undefined) return nothing
  daemon.signal(signal)
  return async () => {
    await daemon.exited
    await world.fleet.platformHost.remove(daemon.id)
    await world.addDaemon()
  }
}

const takeTarget = (world: FaultWorld): FleetTarget | undefined => {
  const target = pickOne(world.random, world.targets)
  if (target === undefined) return undefined
  const others = world.targets.filter(other => other.entry.service === target.entry.service)
  if (others.length <= MIN_TARGETS_OF_SERVICE) return undefined
  world.targets.splice(world.targets.indexOf(target), 1)
  return target
}

const replaceTarget = async (world: FaultWorld, target: FleetTarget): Promise<void> => {
  await world.fleet.platformHost.remove(target.entry.id)
  world.targets.push(await world.fleet.addTarget(target.entry.service, { slots: target.entry.slots }))
}

/** Faults of a soak run, by name. */
export const faults: Readonly<Record<string, StartFault>> = {
  targetFailsPartly: withBehaviour(() => ({ failShare: 0.3 })),
  targetStallsPartly: withBehaviour(() => ({ stallShare: 0.3 })),
  targetFlaps: withBehaviour(() => ({ failShare: 0.5, flapMs: 1_500 })),
  targetIsSlow: withBehaviour(() => ({ spikeShare: 0.5 })),
  targetBreaksConnections: withBehaviour(random => ({ breakShare: 0.3, breakAt: pickOne(random, BREAK_POINTS) ?? 'after-run' })),
  targetGoesSilent: withBehaviour(() => ({ isSilent: true })),
  targetDrains: async world => {
    const target = takeTarget(world)
    if (target === undefined) return nothing
    await target.host.setTarget(target.entry.id, { isDraining: true })
    await world.fleet.platformHost.register({ ...target.entry, state: 'leaving' })
    return async () => { await replaceTarget(world, target) }
  },
  targetCrashes: async world => {
    const target = takeTarget(world)
    if (target === undefined) return nothing
    await target.host.stopTarget(target.entry.id)
    return async () => { await replaceTarget(world, target) }
  },
  storeIsDown: withPlatform({ isDown: true }, { isDown: false }),
  storeIsSlow: withPlatform({ delayMs: 1_500 }, { delayMs: 0 }),
  storeLosesAnswers: withPlatform({ lostAnswerShare: 0.5 }, { lostAnswerShare: 0 }),
  storeReadsAreStale: withPlatform({ replicaLagMs: 2_000 }, { replicaLagMs: 0 }),
  directoryIsDown: withPlatform({ isDirectoryDown: true }, { isDirectoryDown: false }),
  daemonIsKilled: endDaemon('SIGKILL'),
  daemonDrains: endDaemon('SIGTERM'),
  daemonPauses: async world => {
    const daemon = pickOne(world.random, world.daemons)
    if (daemon === undefined) return nothing
    daemon.signal('SIGSTOP')
    return async () => { daemon.signal('SIGCONT') }
  },
  linkIsCutOneWay: async ({ fleet, random, daemons }) => {
    const [from, to] = [pickOne(random, daemons), pickOne(random, daemons)]
    if (from === undefined || to === undefined) return nothing
    await fleet.setLink(from.id, to.id, true)
    return async () => { await fleet.setLink(from.id, to.id, false) }
  },
  daemonHearsNobody: async ({ fleet, random, daemons }) => {
    const deaf = pickOne(random, daemons)
    if (deaf === undefined) return nothing
    const others = daemons.filter(daemon => daemon !== deaf)
    await Promise.all(others.map(async other => { await fleet.setLink(other.id, deaf.id, true) }))
    return async () => { await Promise.all(others.map(async other => { await fleet.setLink(other.id, deaf.id, false) })) }
  },
  promotionsRace: async world => {
    await Promise.all([world.promote(), world.promote()])
    return nothing
  }
}
