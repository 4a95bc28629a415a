import type { GatewayProcess } from '../../../process/gatewayProcess.js'
import type { EndFault, StartFault } from '../../faultLoop.js'
import { gatewayFaults } from '../gatewayFaults.js'
import type { SoakFleet, SoakInstance, SoakTarget } from '../soakFleet.js'
import { GRACE_MS } from './stopOracle.js'
import { STOP_TARGETS } from './stopLoad.js'

type Fault = StartFault<SoakFleet>

const MAX_STOPPED = 3
const MIN_CALM_INSTANCES = 2
const BESIDE_SHARE = 0.5
const SECOND_SIGNAL_SHARE = 0.5
const EARLY_STOP_SHARE = 0.4
/** Shorter than a process takes to leave, so that the next one waits for its addresses. */
const EARLY_MS = 1_200
const RESTART_MS = 300
const HANGUP_COUNT = 10
const HANGUP_INTERVAL_MS = 40
const MIN_HANGUP_MS = 50
const HANGUP_JITTER_MS = 350
const MIN_PAUSED_MS = 500
const PAUSED_JITTER_MS = 2_500
/** Time for which a target serves after its drain was acknowledged. */
const DRAIN_MS = 3_500
const IDLE_CLOSES = 30
const IDLE_CLOSE_INTERVAL_MS = 50
const noCleanup: EndFault = async () => {}

/** Instances whose process is not being replaced: a platform starts one successor at a time. */
const findCalmInstances = (fleet: SoakFleet): readonly SoakInstance[] => fleet.instances.filter(({ restarting }) => restarting === undefined)

/** Marks an instance as being replaced until the given work is done. */
const replace = async (instance: SoakInstance, work: () => Promise<void>): Promise<void> => {
  instance.restarting = work().finally(() => { instance.restarting = undefined })
  await instance.restarting
}

const pickOne = <T>({ random }: SoakFleet, items: readonly T[]): T | undefined => items[random.int(Math.max(1, items.length))]

const pickStoppable = (fleet: SoakFleet): SoakInstance | undefined => {
  const calm = findCalmInstances(fleet)
  return calm.length > MIN_CALM_INSTANCES ? pickOne(fleet, calm) : undefined
}

/** Stops a process as the platform does. */
const stopProcess = async ({ clock }: SoakFleet, daemon: GatewayProcess): Promise<void> => {
  daemon.signal('SIGTERM')
  await Promise.race([daemon.exited, clock.sleepMs(GRACE_MS)])
  daemon.signal('SIGKILL')
  await daemon.exited
}

/** Stops an instance and starts its next process after the earlier one or beside it; that one may be stopped early, too. */
const stopAndReplace = async (fleet: SoakFleet, instance: SoakInstance): Promise<void> => {
  const { clock, random } = fleet
  const draw = (share: number, limitMs: number): number | undefined => random.next() < share ? random.int(limitMs) : undefined
  const [besideMs, secondMs, earlyStopMs, hangupMs] = [draw(BESIDE_SHARE, EARLY_MS), draw(SECOND_SIGNAL_SHARE, GRACE_MS), draw(EARLY_STOP_SHARE, EARLY_MS), draw(EARLY_STOP_SHARE, HANGUP_JITTER_MS)]
  const second = random.next() < SECOND_SIGNAL_SHARE ? 'SIGTERM' : 'SIGHUP'
  const { process: daemon } = instance
  const stopped = stopProcess(fleet, daemon)
  if (secondMs !== undefined) clock.after(secondMs, () => { daemon.signal(second) })
  await (besideMs === undefined ? stopped.then(async () => { await clock.sleepMs(RESTART_MS) }) : clock.sleepMs(besideMs))
  await fleet.startNext(instance)
  const { process: next } = instance
  if (hangupMs !== undefined) clock.after(MIN_HANGUP_MS + hangupMs, () => { next.signal('SIGHUP') })
  if (earlyStopMs !== undefined) {
    await clock.sleepMs(earlyStopMs)
    await stopProcess(fleet, next)
    await fleet.startNext(instance)
  }
  await stopped
}

const leave = async (fleet: SoakFleet, chosen: SoakTarget): Promise<void> => {
  fleet.drainTarget(chosen)
  await fleet.clock.sleepMs(DRAIN_MS)
  fleet.removeTarget(chosen)
  chosen.faultPeriods.start()
}

const pickRemovableTarget = (fleet: SoakFleet): SoakTarget | undefined => {
  const chosen = pickOne(fleet, fleet.targets)
  return chosen === undefined || fleet.targets.filter(({ service }) => service === chosen.service).length <= (STOP_TARGETS[chosen.service] ?? 0) / 2 ? undefined : chosen
}

/** Planned work on the instances. */
export const plannedStops: Readonly<Record<string, Fault>> = {
  instancesStop: async fleet => {
    const chosen = new Set(Array.from({ length: 1 + fleet.random.int(MAX_STOPPED) }, () => pickStoppable(fleet)))
    await Promise.all([...chosen].map(async instance => { if (instance !== undefined) await replace(instance, async () => { await stopAndReplace(fleet, instance) }) }))
    return noCleanup
  },
  settingsAreReread: async fleet => {
    const chosen = pickOne(fleet, findCalmInstances(fleet))
    for (let count = 0; count < HANGUP_COUNT; count++) {
      chosen?.process.signal('SIGHUP')
      await fleet.clock.sleepMs(HANGUP_INTERVAL_MS)
    }
    return noCleanup
  }
}

/** Unplanned faults of instances, targets and the store beside the stops. */
export const faultsBesideStops: Readonly<Record<string, Fault>> = {
  instanceIsKilled: async fleet => {
    const chosen = pickStoppable(fleet)
    if (chosen === undefined) return noCleanup
    await replace(chosen, async () => {
      const endPeriod = chosen.faultPeriods.start()
      const { process: daemon } = chosen
      daemon.signal('SIGKILL')
      await daemon.exited
      await fleet.clock.sleepMs(RESTART_MS)
      await fleet.startNext(chosen)
      endPeriod()
    })
    return noCleanup
  },
  instanceIsPaused: async fleet => {
    const pausedMs = MIN_PAUSED_MS + fleet.random.int(PAUSED_JITTER_MS)
    const chosen = pickOne(fleet, fleet.instances)
    if (chosen === undefined) return noCleanup
    const endPeriod = chosen.faultPeriods.start()
    const { process: daemon } = chosen
    daemon.signal('SIGSTOP')
    await fleet.clock.sleepMs(pausedMs)
    daemon.signal('SIGCONT')
    endPeriod()
    return noCleanup
  },
  targetLeaves: async fleet => {
    const chosen = pickRemovableTarget(fleet)
    if (chosen === undefined) return noCleanup
    await leave(fleet, chosen)
    await Promise.all([chosen.proxy.close(), chosen.target.close()])
    await fleet.addTarget(chosen.service)
    return noCleanup
  },
  targetAddressIsReused: async fleet => {
    const chosen = pickRemovableTarget(fleet)
    if (chosen === undefined) return noCleanup
    await leave(fleet, chosen)
    const other = pickOne(fleet, fleet.targets.filter(({ service }) => service !== chosen.service))
    if (other !== undefined) chosen.proxy.setDestination({ host: '127.0.0.1', port: other.target.port })
    chosen.proxy.resetConnections()
    await fleet.addTarget(chosen.service)
    return noCleanup
  },
  targetClosesIdleConnections: async fleet => {
    const chosen = pickOne(fleet, fleet.targets)
    for (let count = 0; count < IDLE_CLOSES; count++) {
      chosen?.target.closeIdleConnections()
      await fleet.clock.sleepMs(IDLE_CLOSE_INTERVAL_MS)
    }
    return noCleanup
  },
  storeConnectionsReset: async fleet => {
    for (const { storeProxy } of fleet.instances) storeProxy.resetConnections()
    return noCleanup
  },
  storeIsBackFromACopy: async fleet => {
    const restore = fleet.store.keepCopy()
    return async () => { restore() }
  },
  ...Object.fromEntries(Object.entries(gatewayFaults).filter(([name]) => name.startsWith('store')))
}
