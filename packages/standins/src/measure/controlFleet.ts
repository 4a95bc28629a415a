import type { DirectoryEntry, JsonValue } from '@lovagehoist/common'
import { measuredDocument } from './documents.js'
import { ENVIRONMENT, Fleet, zoneOf } from './fleet.js'
import { cpuSecondsOf, residentMbOf } from './processUsage.js'

/** Size at which control is measured. */
export interface ControlSize {
  /** Daemons in all, scripted ones included. */
  readonly instances: number
  readonly realInstances: number
  readonly targets: number
  readonly services: number
}

/** What a daemon used, in the mean over the real ones. */
export interface ControlUse {
  /** Part of a core. */
  readonly cpuShare: number
  readonly residentMb: number
  /** Bytes a second between daemons, both directions. */
  readonly bytesPerSecond: number
  readonly highestBytesPerSecond: number
  readonly invariantBreaches: number
}

const SLOTS = 6
const REGISTER_AT_ONCE = 1_000
const WARM_UP_MS = 10_000
/** Time in which a daemon learns of many others within its byte budget. */
const LEARN_MS_PER_INSTANCE = 60
const SAMPLE_MS = 1_000
const MS_PER_SECOND = 1_000

const serviceName = (index: number): string => `service-${index}`

const targetEntries = ({ targets, services }: ControlSize): readonly DirectoryEntry[] => Array.from({ length: targets }, (_, index) => ({
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

const registerTargets = async (fleet: Fleet, size: ControlSize): Promise<void> => {
  const entries = targetEntries(size)
  for (let start = 0; start < entries.length; start += REGISTER_AT_ONCE) {
    await fleet.platformHost.registerAll(entries.slice(start, start + REGISTER_AT_ONCE))
  }
}

const documentOf = ({ targets, services }: ControlSize): JsonValue => {
  const plannedTargets = Math.floor(targets / services)
  const service = { plannedTargets, slotsPerTarget: SLOTS, floorSlots: SLOTS }
  return measuredDocument(Object.fromEntries(Array.from({ length: services }, (_, index) => [serviceName(index), service])))
}

const startPeers = async (fleet: Fleet, size: ControlSize): Promise<void> => {
  const count = size.instances - size.realInstances
  if (count === 0) return
  await fleet.platformHost.registerAll(await fleet.platformHost.startPeers(count, ENVIRONMENT))
  for (const daemon of fleet.daemons) await fleet.platformHost.talkTo(daemon.id, (await daemon.ports).peers)
}

const bytesOf = (dump: Readonly<Record<string, JsonValue>>): number =>
  (dump.peers as { readonly bytesPerSecond?: number } | undefined)?.bytesPerSecond ?? 0

/** Whether daemons talk to each other. */
export type ControlMode = 'on' | 'off'

/**
 * Runs daemons without requests and measures what they use.
 *
 * @param seed - Seed of the stand-ins.
 * @param size - Numbers of daemons, targets and services.
 * @param control - Whether the daemons talk to each other.
 * @param durationMs - Time of measurement, after the start has settled.
 * @returns What a daemon used.
 */
export const measureControl = async (seed: number, size: ControlSize, control: ControlMode, durationMs: number): Promise<ControlUse> => {
  const fleet = await Fleet.create(seed, 1)
  try {
    await registerTargets(fleet, size)
    await fleet.promote(documentOf(size))
    await fleet.addDaemons(size.realInstances, { mechanisms: { control } })
    if (control === 'on') await startPeers(fleet, size)
    await fleet.clock.sleepMs(WARM_UP_MS + size.instances * LEARN_MS_PER_INSTANCE)
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
    const bytes = dumps.map(bytesOf)
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
