import type { Random } from '@lovagehoist/common'
import type { Fleet, FleetTarget } from '../measure/fleet.js'
import type { DaemonProcess } from '../process/daemonProcess.js'
import type { DisconnectPoint, TargetBehaviour } from '../target/behaviour.js'
import { HEALTHY_BEHAVIOUR } from '../target/behaviour.js'
import type { EndFault, StartFault as StartFaultIn } from './faultLoop.js'

/** Fleet that the faults act on. */
export interface FaultContext {
  readonly fleet: Fleet
  readonly random: Random
  /** Running targets that no fault has removed. */
  readonly targets: FleetTarget[]
  /** Running daemons that serve requests. */
  readonly daemons: DaemonProcess[]
  /** Address for callers, by instance ID. */
  readonly urls: Map<string, string>
  /** Promotes a document with a small change. */
  readonly promote: () => Promise<void>
  /** Starts another daemon and adds it to those that serve requests. */
  readonly addDaemon: () => Promise<void>
}

type StartFault = StartFaultIn<FaultContext>

const DISCONNECT_POINTS: readonly DisconnectPoint[] = ['after-accept', 'after-head', 'mid-body', 'after-body', 'after-run', 'after-status', 'mid-answer', 'before-last-byte']
const MIN_DAEMONS = 2
const MIN_TARGETS_PER_SERVICE = 5
const noCleanup: EndFault = async () => {}

const pickOne = <T>(random: Random, items: readonly T[]): T | undefined => items.length === 0 ? undefined : items[random.int(items.length)]

const changeBehaviour = (change: (random: Random) => Partial<TargetBehaviour>): StartFault => async ({ targets, random }) => {
  const target = pickOne(random, targets)
  if (target === undefined) return noCleanup
  const behaviour = change(random)
  await target.host.setTarget(target.entry.id, behaviour)
  const healthy = Object.fromEntries(Object.keys(behaviour).map(key => [key, HEALTHY_BEHAVIOUR[key as keyof TargetBehaviour]]))
  return async () => { await target.host.setTarget(target.entry.id, healthy) }
}

const changePlatform = (on: Parameters<Fleet['platformHost']['setPlatform']>[0], off: typeof on): StartFault => async ({ fleet }) => {
  await fleet.platformHost.setPlatform(on)
  return async () => { await fleet.platformHost.setPlatform(off) }
}

const removeDaemon = (context: FaultContext): DaemonProcess | undefined => {
  if (context.daemons.length <= MIN_DAEMONS) return undefined
  const daemon = pickOne(context.random, context.daemons)
  if (daemon !== undefined) context.daemons.splice(context.daemons.indexOf(daemon), 1)
  return daemon
}

const stopDaemon = (signal: 'SIGKILL' | 'SIGTERM'): StartFault => async context => {
  const daemon = removeDaemon(context)
  if (daemon === undefined) return noCleanup
  daemon.signal(signal)
  return async () => {
    await daemon.exited
    await context.fleet.platformHost.remove(daemon.id)
    await context.addDaemon()
  }
}

const removeTarget = (context: FaultContext): FleetTarget | undefined => {
  const target = pickOne(context.random, context.targets)
  if (target === undefined) return undefined
  const others = context.targets.filter(other => other.entry.service === target.entry.service)
  if (others.length <= MIN_TARGETS_PER_SERVICE) return undefined
  context.targets.splice(context.targets.indexOf(target), 1)
  return target
}

const replaceTarget = async (context: FaultContext, target: FleetTarget): Promise<void> => {
  await context.fleet.platformHost.remove(target.entry.id)
  context.targets.push(await context.fleet.addTarget(target.entry.service, { slots: target.entry.slots }))
}

/** Faults of a soak run, by name. */
export const faults: Readonly<Record<string, StartFault>> = {
  targetFailsPartly: changeBehaviour(() => ({ failShare: 0.3 })),
  targetStallsPartly: changeBehaviour(() => ({ stallShare: 0.3 })),
  targetFlaps: changeBehaviour(() => ({ failShare: 0.5, flapMs: 1_500 })),
  targetIsSlow: changeBehaviour(() => ({ spikeShare: 0.5 })),
  targetBreaksConnections: changeBehaviour(random => ({ breakShare: 0.3, breakAt: pickOne(random, DISCONNECT_POINTS) ?? 'after-run' })),
  targetGoesSilent: changeBehaviour(() => ({ isSilent: true })),
  targetDrains: async context => {
    const target = removeTarget(context)
    if (target === undefined) return noCleanup
    await target.host.setTarget(target.entry.id, { isDraining: true })
    await context.fleet.platformHost.register({ ...target.entry, state: 'leaving' })
    return async () => { await replaceTarget(context, target) }
  },
  targetCrashes: async context => {
    const target = removeTarget(context)
    if (target === undefined) return noCleanup
    await target.host.stopTarget(target.entry.id)
    return async () => { await replaceTarget(context, target) }
  },
  storeIsDown: changePlatform({ isDown: true }, { isDown: false }),
  storeIsSlow: changePlatform({ delayMs: 1_500 }, { delayMs: 0 }),
  storeLosesAnswers: changePlatform({ lostAnswerShare: 0.5 }, { lostAnswerShare: 0 }),
  storeReadsAreStale: changePlatform({ replicaLagMs: 2_000 }, { replicaLagMs: 0 }),
  directoryIsDown: changePlatform({ isDirectoryDown: true }, { isDirectoryDown: false }),
  daemonIsKilled: stopDaemon('SIGKILL'),
  daemonDrains: stopDaemon('SIGTERM'),
  daemonPauses: async context => {
    const daemon = pickOne(context.random, context.daemons)
    if (daemon === undefined) return noCleanup
    daemon.signal('SIGSTOP')
    return async () => { daemon.signal('SIGCONT') }
  },
  linkIsCutOneWay: async ({ fleet, random, daemons }) => {
    const [from, to] = [pickOne(random, daemons), pickOne(random, daemons)]
    if (from === undefined || to === undefined) return noCleanup
    await fleet.setLink(from.id, to.id, true)
    return async () => { await fleet.setLink(from.id, to.id, false) }
  },
  daemonHearsNobody: async ({ fleet, random, daemons }) => {
    const isolated = pickOne(random, daemons)
    if (isolated === undefined) return noCleanup
    const others = daemons.filter(daemon => daemon !== isolated)
    await Promise.all(others.map(async other => { await fleet.setLink(other.id, isolated.id, true) }))
    return async () => { await Promise.all(others.map(async other => { await fleet.setLink(other.id, isolated.id, false) })) }
  },
  promotionsRace: async context => {
    await Promise.all([context.promote(), context.promote()])
    return noCleanup
  }
}
