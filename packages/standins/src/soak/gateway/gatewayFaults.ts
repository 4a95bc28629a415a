import type { AnswerManner } from '../../gateway/gatewayTarget.js'
import type { StoreTrouble } from '../../gateway/rowStoreStandin.js'
import type { LinkFault } from '../../network/relay.js'
import type { EndFault, StartFault } from '../faultLoop.js'
import { SERVICES } from './soakFleet.js'
import type { SoakFleet, SoakInstance, SoakTarget } from './soakFleet.js'

type Fault = StartFault<SoakFleet>

/** Source address of all links on one machine. */
const LOOPBACK = '127.0.0.1'
const LEAST_TARGETS = 3
const LEAST_READY = 2
const DELAY_MS = 300
const STORM_VERSIONS = 6
const STORM_GAP_MS = 150
const MOST_INSTANCES = 12
/** Time from the announcement that a target leaves to its end. */
const LEAVING_MS = 3_500
const nothing: EndFault = async () => {}

const pickOne = <T>({ random }: SoakFleet, items: readonly T[]): T | undefined => items.length === 0 ? undefined : items[random.int(items.length)]

const answering = (manner: AnswerManner, share: number): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.targets)
  if (chosen === undefined) return nothing
  const calm = chosen.troubles.begin()
  Object.assign(chosen.target, { manner, mannerShare: share })
  return async () => {
    Object.assign(chosen.target, { manner: 'well', mannerShare: 1 })
    calm()
  }
}

const targetLink = (fault: Partial<LinkFault>): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.targets)
  if (chosen === undefined) return nothing
  const calm = chosen.troubles.begin()
  chosen.relay.set(LOOPBACK, fault)
  return async () => {
    chosen.relay.set(LOOPBACK, {})
    calm()
  }
}

const storeLink = (fault: Partial<LinkFault>): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.instances)
  if (chosen === undefined) return nothing
  const calm = chosen.troubles.begin()
  chosen.storeRelay.set(LOOPBACK, fault)
  return async () => {
    chosen.storeRelay.set(LOOPBACK, {})
    calm()
  }
}

const store = (trouble: StoreTrouble): Fault => async fleet => {
  const calm = fleet.storeTroubles.begin()
  fleet.store.setTrouble(trouble)
  return async () => {
    fleet.store.setTrouble('none')
    calm()
  }
}

/** Takes a target out of its service for good; undefined when too few would be left. */
const takeTarget = (fleet: SoakFleet): SoakTarget | undefined => {
  const chosen = pickOne(fleet, fleet.targets)
  if (chosen === undefined || fleet.targets.filter(({ service }) => service === chosen.service).length <= LEAST_TARGETS) return undefined
  return chosen
}

const drainTarget = async (fleet: SoakFleet): Promise<SoakTarget | undefined> => {
  const leaving = takeTarget(fleet)
  if (leaving === undefined) return undefined
  fleet.drainTarget(leaving)
  await fleet.clock.sleepMs(LEAVING_MS)
  fleet.removeTarget(leaving)
  return leaving
}

const kill = async (fleet: SoakFleet, chosen: readonly SoakInstance[]): Promise<EndFault> => {
  const calms = chosen.map(({ troubles, process: running }) => {
    const calm = troubles.begin()
    running.signal('SIGCONT')
    running.signal('SIGKILL')
    return calm
  })
  return async () => {
    await Promise.all(chosen.map(async instance => { await fleet.restart(instance) }))
    for (const calm of calms) calm()
  }
}

/** Instances that a fault may take, so that some stay ready. */
const spared = (fleet: SoakFleet): readonly SoakInstance[] => {
  const running = fleet.instances.filter(({ process: { isGone } }) => !isGone)
  return running.filter(({ isReady }) => isReady).length > LEAST_READY ? running : []
}

/** Faults of a soak, by name; all act from outside the daemons. */
export const gatewayFaults: Readonly<Record<string, Fault>> = {
  targetFails: answering('error', 1),
  targetFailsPartly: answering('error', 0.4),
  targetResets: answering('reset', 0.5),
  targetHangs: answering('hang', 0.5),
  targetAnswersForAnother: answering('other-id', 0.5),
  targetDoesNotSign: answering('unsigned', 0.5),
  targetCodes: answering('coded', 0.5),
  targetBreaksOff: answering('unframed-reset', 0.5),
  targetIsFull: answering('refuse', 0.7),
  targetIsFar: targetLink({ delayMs: DELAY_MS }),
  targetIsSilent: targetLink({ isSilent: true }),
  targetAnswersAreLost: targetLink({ isAnswerSilent: true }),
  targetConnectionsReset: async fleet => {
    pickOne(fleet, fleet.targets)?.relay.reset()
    return nothing
  },
  targetLeaves: async fleet => {
    const leaving = await drainTarget(fleet)
    if (leaving !== undefined) await fleet.addTarget(leaving.service)
    return nothing
  },
  targetAddressIsReused: async fleet => {
    const leaving = await drainTarget(fleet)
    if (leaving === undefined) return nothing
    const added = await fleet.addTarget(SERVICES.find(service => service !== leaving.service) ?? leaving.service)
    leaving.relay.connectTo({ host: LOOPBACK, port: added.target.port })
    leaving.relay.reset()
    return nothing
  },
  storeIsBusy: store('busy'),
  storeIsSilent: store('silent'),
  storeLosesAnswers: store('answers-lost'),
  storeForgetsHistory: async fleet => {
    fleet.store.dropHistory()
    return nothing
  },
  storeLinkIsCut: storeLink({ isSilent: true }),
  storeAnswersDoNotPass: storeLink({ isAnswerSilent: true }),
  storeIsFar: storeLink({ delayMs: DELAY_MS }),
  configChanges: async fleet => {
    fleet.config.change()
    return nothing
  },
  configStorm: async fleet => {
    for (let index = 0; index < STORM_VERSIONS; index++) {
      fleet.config.change()
      await fleet.clock.sleepMs(STORM_GAP_MS)
    }
    return nothing
  },
  daemonIsKilled: async fleet => await kill(fleet, [pickOne(fleet, spared(fleet))].filter(chosen => chosen !== undefined)),
  daemonsAreKilled: async fleet => await kill(fleet, fleet.instances.filter(({ process: { isGone } }) => !isGone)),
  daemonLeaves: async fleet => {
    const chosen = pickOne(fleet, spared(fleet))
    chosen?.process.signal('SIGTERM')
    return async () => { if (chosen !== undefined) await fleet.restart(chosen) }
  },
  daemonIsPaused: async fleet => {
    const chosen = pickOne(fleet, spared(fleet))
    if (chosen === undefined) return nothing
    const calm = chosen.troubles.begin()
    chosen.process.signal('SIGSTOP')
    return async () => {
      chosen.process.signal('SIGCONT')
      calm()
    }
  },
  daemonRereadsSettings: async fleet => {
    pickOne(fleet, spared(fleet))?.process.signal('SIGHUP')
    return nothing
  },
  daemonIsAdded: async fleet => {
    if (fleet.instances.length < MOST_INSTANCES) await fleet.addInstance()
    return nothing
  }
}
