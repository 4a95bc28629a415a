import type { AnswerManner } from '../../gateway/gatewayTarget.js'
import type { StoreTrouble } from '../../gateway/rowStoreStandin.js'
import type { LinkFault, Relay } from '../../network/relay.js'
import type { EndFault, StartFault } from '../faultLoop.js'
import { SERVICES } from './soakFleet.js'
import type { SoakFleet, SoakInstance, SoakTarget } from './soakFleet.js'
import type { Troubles } from './troubles.js'

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

/** Puts something in trouble until the fault ends. */
const trouble = (troubles: Troubles, set: () => void, restore: () => void): EndFault => {
  const calm = troubles.begin()
  set()
  return async () => {
    restore()
    calm()
  }
}

const answering = (manner: AnswerManner, share: number): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.targets)
  if (chosen === undefined) return nothing
  const { target, troubles } = chosen
  return trouble(troubles, () => { Object.assign(target, { manner, mannerShare: share }) }, () => { Object.assign(target, { manner: 'well', mannerShare: 1 }) })
}

const onLink = (relay: Relay, troubles: Troubles, fault: Partial<LinkFault>): EndFault =>
  trouble(troubles, () => { relay.set(LOOPBACK, fault) }, () => { relay.set(LOOPBACK, {}) })

const targetLink = (fault: Partial<LinkFault>): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.targets)
  return chosen === undefined ? nothing : onLink(chosen.relay, chosen.troubles, fault)
}

const storeLink = (fault: Partial<LinkFault>): Fault => async fleet => {
  const chosen = pickOne(fleet, fleet.instances)
  return chosen === undefined ? nothing : onLink(chosen.storeRelay, chosen.troubles, fault)
}

const store = (kind: StoreTrouble): Fault => async ({ store: standin, storeTroubles }) =>
  trouble(storeTroubles, () => { standin.setTrouble(kind) }, () => { standin.setTrouble('none') })

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
    return trouble(chosen.troubles, () => { chosen.process.signal('SIGSTOP') }, () => { chosen.process.signal('SIGCONT') })
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
