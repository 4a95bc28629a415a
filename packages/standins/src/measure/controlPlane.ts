import type { DirectoryEntry, JsonValue } from '@lovagehoist/common'
import { measuredDocument } from './documents.js'
import { ENVIRONMENT, Fleet, zoneOf } from './fleet.js'
import { cpuSecondsOf, residentMbOf } from './processUsage.js'

/** Size of a fleet whose control-plane cost is measured. */
export interface ControlFleetSize {
  /** Number of all daemons, scripted ones included. */
  readonly instances: number
  /** Number of daemons that run as real processes; scripted peers stand in for the others. */
  readonly realInstances: number
  readonly targets: number
  readonly services: number
}

/** Resources that a daemon used, averaged over the real daemons. */
export interface ControlPlaneUsage {
  /** CPU time as a fraction of one core. */
  readonly cpuShare: number
  readonly residentMb: number
  /** Traffic with other daemons, sent and received. */
  readonly bytesPerSecond: number
  readonly highestBytesPerSecond: number
  readonly invariantBreaches: number
}

const SLOTS = 6
const REGISTRATION_BATCH = 1_000
const WARM_UP_MS = 10_000
/** Time that membership takes to converge within the byte budget of gossip, for each daemon in the fleet. */
const CONVERGENCE_MS_PER_INSTANCE = 60
const SAMPLE_MS = 1_000
const MS_PER_SECOND = 1_000

const serviceName = (index: number): string => `service-${index}`

const targetEntries = ({ targets, services }: ControlFleetSize): readonly DirectoryEntry[] => Array.from({ length: targets }, (_, index) => ({
  id: `target-${index}`,
  role: 'target',
  service: serviceName(index % services),
  host: '127.0.0.1',
  port: 1,
  state: 'live',
  startedAtMs: 0,
  slots: SLOTS,
  region: 'local',
  availabilityZone: zoneOf(index)
}))

const registerTargets = async (fleet: Fleet, size: ControlFleetSize): Promise<void> => {
  const entries = targetEntries(size)
  for (let start = 0; start < entries.length; start += REGISTRATION_BATCH) {
    await fleet.platformHost.registerAll(entries.slice(start, start + REGISTRATION_BATCH))
  }
}

const documentOf = ({ targets, services }: ControlFleetSize): JsonValue => {
  const plannedTargets = Math.floor(targets / services)
  const service = { plannedTargets, slotsPerTarget: SLOTS, floorSlots: SLOTS }
  return measuredDocument(Object.fromEntries(Array.from({ length: services }, (_, index) => [serviceName(index), service])))
}

/** Starts scripted peers in place of the other daemons and lets them exchange messages with the real ones. */
const startScriptedPeers = async (fleet: Fleet, size: ControlFleetSize): Promise<void> => {
  const count = size.instances - size.realInstances
  if (count === 0) return
  await fleet.platformHost.registerAll(await fleet.platformHost.startPeers(count, ENVIRONMENT))
  for (const daemon of fleet.daemons) await fleet.platformHost.sendPeerTraffic(daemon.id, (await daemon.ports).peers)
}

const bytesPerSecondOf = (dump: Readonly<Record<string, JsonValue>>): number =>
  (dump.peers as { readonly bytesPerSecond?: number } | undefined)?.bytesPerSecond ?? 0

/** Whether daemons exchange state with each other (setting `mechanisms.control`). */
export type ControlMode = 'on' | 'off'

/**
 * Runs daemons without requests and measures their CPU, memory and traffic.
 *
 * @param seed - Seed of the stand-ins.
 * @param size - Numbers of daemons, targets and services.
 * @param control - Whether the daemons exchange state with each other.
 * @param durationMs - Duration of the measurement, which begins after the warm-up.
 * @returns Mean usage of a real daemon.
 */
export const measureControlPlane = async (seed: number, size: ControlFleetSize, control: ControlMode, durationMs: number): Promise<ControlPlaneUsage> => {
  const fleet = await Fleet.create(seed, 1)
  try {
    await registerTargets(fleet, size)
    await fleet.promote(documentOf(size))
    await fleet.addDaemons(size.realInstances, { mechanisms: { control } })
    if (control === 'on') await startScriptedPeers(fleet, size)
    await fleet.clock.sleepMs(WARM_UP_MS + size.instances * CONVERGENCE_MS_PER_INSTANCE)
    const cpuBefore = await cpuSecondsOf(fleet.daemons)
    const startedAtMs = fleet.clock.monotonicMs()
    const samplesMb: number[] = []
    while (fleet.clock.monotonicMs() - startedAtMs < durationMs) {
      await fleet.clock.sleepMs(SAMPLE_MS)
      samplesMb.push(await residentMbOf(fleet.daemons))
    }
    const seconds = (fleet.clock.monotonicMs() - startedAtMs) / MS_PER_SECOND
    const cpuShare = (await cpuSecondsOf(fleet.daemons) - cpuBefore) / seconds / size.realInstances
    const residentMb = samplesMb.reduce((sum, value) => sum + value, 0) / samplesMb.length
    const dumps = await Promise.all(fleet.daemons.map(async daemon => await fleet.dump(daemon)))
    const bytes = dumps.map(bytesPerSecondOf)
    return {
      cpuShare,
      residentMb,
      bytesPerSecond: bytes.reduce((sum, value) => sum + value, 0) / bytes.length,
      highestBytesPerSecond: Math.max(...bytes),
      invariantBreaches: dumps.reduce((sum, dump) => sum + (Array.isArray(dump.breaches) ? dump.breaches.length : 0), 0)
    }
  } finally {
    await fleet.close()
  }
}
