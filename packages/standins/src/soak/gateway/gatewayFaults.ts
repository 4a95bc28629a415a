import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { request } from 'undici'
import type { ResponseMode } from '../../gateway/gatewayTarget.js'
import type { StoreFault } from '../../gateway/rowStoreStandin.js'
import type { LinkFault, TcpProxy } from '../../network/tcpProxy.js'
import type { GatewayProcess } from '../../process/gatewayProcess.js'
import type { EndFault, StartFault } from '../faultLoop.js'
import { HOST_NAME } from './soakConfig.js'
import { SERVICES } from './soakFleet.js'
import type { SoakFleet, SoakInstance, SoakTarget } from './soakFleet.js'
import type { FaultPeriods } from './faultPeriods.js'
import { CRASH_PREFIX } from './targetOracle.js'

type Fault = StartFault<SoakFleet>

/** Source address of all links: the whole fleet runs on one machine. */
const LOOPBACK = '127.0.0.1'
const MIN_TARGETS_PER_SERVICE = 3
const MIN_READY_INSTANCES = 2
const LINK_DELAY_MS = 300
const LIMIT_PER_SECOND = 1.5
/** Additional time, since a limit is checked only from some seconds after it was named. */
const LIMIT_MS = 6_000
const STORM_VERSION_COUNT = 6
const STORM_INTERVAL_MS = 150
const MAX_INSTANCES = 12
/** Time between the start of a target's drain and the removal of its row. */
const DRAIN_MS = 3_500
/** A request that crashes targets is repeated at any daemon for a while. */
const CRASHING_MS = 6_000
const CRASH_REPEAT_MS = 300
const MAX_CRASHING_REQUESTS = 1_000_000
const DEADLINE_MS = 1_000
const noCleanup: EndFault = async () => {}

const pickOne = <T>({ random }: SoakFleet, items: readonly T[]): T | undefined => items.length === 0 ? undefined : items[random.int(items.length)]

/** Activates a fault and records its period, which lasts until the returned function has restored the normal state. */
const applyFault = (faultPeriods: FaultPeriods, activate: () => void, restore: () => void): EndFault => {
  const endPeriod = faultPeriods.start()
  activate()
  return async () => {
    restore()
    endPeriod()
  }
}

const respondWith = (responseMode: ResponseMode, share: number): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.targets)
  if (chosen === undefined) return noCleanup
  const { target, faultPeriods } = chosen
  return applyFault(faultPeriods, () => { Object.assign(target, { responseMode, responseModeShare: share }) }, () => { Object.assign(target, { responseMode: 'well', responseModeShare: 1 }) })
}

const applyLinkFault = (proxy: TcpProxy, faultPeriods: FaultPeriods, fault: Partial<LinkFault>): EndFault =>
  applyFault(faultPeriods, () => { proxy.setFault(LOOPBACK, fault) }, () => { proxy.setFault(LOOPBACK, {}) })

const targetLinkFault = (fault: Partial<LinkFault>): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.targets)
  return chosen === undefined ? noCleanup : applyLinkFault(chosen.proxy, chosen.faultPeriods, fault)
}

const storeLinkFault = (fault: Partial<LinkFault>): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.instances)
  return chosen === undefined ? noCleanup : applyLinkFault(chosen.storeProxy, chosen.faultPeriods, fault)
}

const storeFault = (fault: StoreFault): Fault => async ({ store, storeFaultPeriods }) =>
  applyFault(storeFaultPeriods, () => { store.setFault(fault) }, () => { store.setFault('none') })

/** Picks a target to remove for good; undefined when its service would have too few left. */
const pickRemovableTarget = (fleet: SoakFleet): SoakTarget | undefined => {
  const chosen = pickOne(fleet, fleet.targets)
  if (chosen === undefined || fleet.targets.filter(({ service }) => service === chosen.service).length <= MIN_TARGETS_PER_SERVICE) return undefined
  return chosen
}

const callOnce = async (fleet: SoakFleet, instance: SoakInstance, path: string): Promise<void> => {
  const headers = { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: `${path}-${fleet.clock.monotonicMs()}`, [PLATFORM_HEADERS.deadline]: String(DEADLINE_MS) }
  const { body } = await request(`${fleet.baseUrlOf(instance)}${path}`, { headers })
  await body.dump()
}

const drainTarget = async (fleet: SoakFleet): Promise<SoakTarget | undefined> => {
  const soakTarget = pickRemovableTarget(fleet)
  if (soakTarget === undefined) return undefined
  fleet.drainTarget(soakTarget)
  await fleet.clock.sleepMs(DRAIN_MS)
  fleet.removeTarget(soakTarget)
  return soakTarget
}

/** Restarts an instance unless another fault has already replaced the process that this one ended. */
const restartEnded = async (fleet: SoakFleet, instance: SoakInstance, ended: GatewayProcess): Promise<void> => {
  if (instance.process === ended) await fleet.restart(instance)
}

const killInstances = async (fleet: SoakFleet, chosen: readonly SoakInstance[]): Promise<EndFault> => {
  const killed = chosen.map(instance => {
    const { faultPeriods, process: daemon } = instance
    const endPeriod = faultPeriods.start()
    daemon.signal('SIGCONT')
    daemon.signal('SIGKILL')
    return { instance, daemon, endPeriod }
  })
  return async () => {
    await Promise.all(killed.map(async ({ instance, daemon }) => { await restartEnded(fleet, instance, daemon) }))
    for (const { endPeriod } of killed) endPeriod()
  }
}

/** Running instances that a fault may stop; none when too few would stay ready. */
const findStoppableInstances = (fleet: SoakFleet): readonly SoakInstance[] => {
  const running = fleet.instances.filter(({ process: { hasExited } }) => !hasExited)
  return running.filter(({ isReady }) => isReady).length > MIN_READY_INSTANCES ? running : []
}

/** Faults of a gateway soak, by name; all are injected from outside the daemons. */
export const gatewayFaults: Readonly<Record<string, Fault>> = {
  targetFails: respondWith('error', 1),
  targetFailsPartly: respondWith('error', 0.4),
  targetResets: respondWith('reset', 0.5),
  targetHangs: respondWith('hang', 0.5),
  targetAnswersForAnother: respondWith('other-id', 0.5),
  targetDoesNotSign: respondWith('unsigned', 0.5),
  targetCodes: respondWith('coded', 0.5),
  targetBreaksOff: respondWith('unframed-reset', 0.5),
  targetIsFull: respondWith('refuse', 0.7),
  targetNamesLimit: async fleet => {
    const chosen = pickOne(fleet, fleet.targets.filter(({ target }) => target.limitPerSecond === undefined))
    if (chosen === undefined) return noCleanup
    const lift = fleet.nameLimit(chosen, LIMIT_PER_SECOND)
    return async () => {
      await fleet.clock.sleepMs(LIMIT_MS)
      lift()
    }
  },
  targetSaysItLeaves: async fleet => {
    const chosen = pickRemovableTarget(fleet)
    if (chosen === undefined) return noCleanup
    fleet.sayLeaving(chosen)
    return async () => {
      await fleet.clock.sleepMs(DRAIN_MS)
      if (!fleet.targets.includes(chosen)) return
      fleet.drainTarget(chosen)
      fleet.removeTarget(chosen)
      await fleet.addTarget(chosen.service)
    }
  },
  requestCrashesTargets: async fleet => {
    const path = `${CRASH_PREFIX}${fleet.random.int(MAX_CRASHING_REQUESTS)}`
    for (let elapsedMs = 0; elapsedMs < CRASHING_MS; elapsedMs += CRASH_REPEAT_MS) {
      const instance = pickOne(fleet, fleet.instances.filter(({ isReady }) => isReady))
      if (instance !== undefined) callOnce(fleet, instance, path).catch(() => {})
      await fleet.clock.sleepMs(CRASH_REPEAT_MS)
    }
    return noCleanup
  },
  targetIsFar: targetLinkFault({ delayMs: LINK_DELAY_MS }),
  targetIsSilent: targetLinkFault({ isSilent: true }),
  targetAnswersAreLost: targetLinkFault({ isResponseSilent: true }),
  targetConnectionsReset: async fleet => {
    pickOne(fleet, fleet.targets)?.proxy.resetConnections()
    return noCleanup
  },
  targetLeaves: async fleet => {
    const drained = await drainTarget(fleet)
    if (drained !== undefined) await fleet.addTarget(drained.service)
    return noCleanup
  },
  targetAddressIsReused: async fleet => {
    const drained = await drainTarget(fleet)
    if (drained === undefined) return noCleanup
    const added = await fleet.addTarget(SERVICES.find(service => service !== drained.service) ?? drained.service)
    drained.proxy.setDestination({ host: LOOPBACK, port: added.target.port })
    drained.proxy.resetConnections()
    return noCleanup
  },
  storeIsBusy: storeFault('busy'),
  storeIsSilent: storeFault('silent'),
  storeLosesAnswers: storeFault('answers-lost'),
  storeForgetsHistory: async fleet => {
    fleet.store.dropHistory()
    return noCleanup
  },
  storeLinkIsCut: storeLinkFault({ isSilent: true }),
  storeAnswersDoNotPass: storeLinkFault({ isResponseSilent: true }),
  storeIsFar: storeLinkFault({ delayMs: LINK_DELAY_MS }),
  configChanges: async fleet => {
    fleet.config.publishNextVersion()
    return noCleanup
  },
  configStorm: async fleet => {
    for (let index = 0; index < STORM_VERSION_COUNT; index++) {
      fleet.config.publishNextVersion()
      await fleet.clock.sleepMs(STORM_INTERVAL_MS)
    }
    return noCleanup
  },
  daemonIsKilled: async fleet => await killInstances(fleet, [pickOne(fleet, findStoppableInstances(fleet))].filter(chosen => chosen !== undefined)),
  daemonsAreKilled: async fleet => await killInstances(fleet, fleet.instances.filter(({ process: { hasExited } }) => !hasExited)),
  daemonLeaves: async fleet => {
    const chosen = pickOne(fleet, findStoppableInstances(fleet))
    if (chosen === undefined) return noCleanup
    const { process: daemon } = chosen
    daemon.signal('SIGTERM')
    return async () => { await restartEnded(fleet, chosen, daemon) }
  },
  daemonIsPaused: async fleet => {
    const chosen = pickOne(fleet, findStoppableInstances(fleet))
    if (chosen === undefined) return noCleanup
    return applyFault(chosen.faultPeriods, () => { chosen.process.signal('SIGSTOP') }, () => { chosen.process.signal('SIGCONT') })
  },
  daemonRereadsSettings: async fleet => {
    pickOne(fleet, findStoppableInstances(fleet))?.process.signal('SIGHUP')
    return noCleanup
  },
  daemonIsAdded: async fleet => {
    if (fleet.instances.length < MAX_INSTANCES) await fleet.addInstance()
    return noCleanup
  }
}
