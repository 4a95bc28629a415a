import type { Clock, Member, PeerBus, PeerMethodHandler, Random } from '@lovagehoist/common'
import { z } from 'zod'
import type { ConfirmationTracker } from './confirmationTracker.js'
import type { FleetMajority } from './fleetMajority.js'
import type { HeldConfig } from './heldConfig.js'

/** Peer method that returns the version a daemon holds and the age of its last confirmation as the newest. */
export const VERSION_METHOD = 'config.version'

const CALL_TIMEOUT_MS = 1_000
const MAX_HOLDERS_CHARACTERS = 65_536

const versionResponseSchema = z.object({
  environment: z.string(),
  version: z.int().min(1),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** Time since the version was last confirmed as the newest accepted one, in milliseconds; null when it never was. */
  currencyAgeMs: z.number().min(0).nullable(),
  /** Instances recently known to hold nothing newer, encoded by `FleetMajority.encode`. */
  holders: z.base64().max(MAX_HOLDERS_CHARACTERS)
})

/** Version that a peer holds. */
export interface PeerVersion {
  readonly version: number
  readonly digest: string
  /** Monotonic time of this daemon at which it was last confirmed as the newest; undefined when it never was. */
  readonly confirmedAtMs: number | undefined
  readonly holders: string
  /** Monotonic time of this daemon at which the request was sent. */
  readonly requestedAtMs: number
}

/** State that the version handler reports. */
export interface VersionState {
  readonly held: HeldConfig
  readonly confirmations: ConfirmationTracker
  readonly majority: FleetMajority
}

/** Environment, bus, clock and randomness for querying peers. */
export interface PeerVersionOptions {
  readonly environment: string
  readonly bus: PeerBus
  readonly random: Random
  readonly clock: Clock
}

/**
 * Creates the handler that reports the version held here.
 *
 * @param options - Environment and clock.
 * @param state - Held configuration, and its confirmations as the newest.
 * @returns Handler; responds with null while no version is held.
 */
export const createVersionHandler = (options: PeerVersionOptions, { held, confirmations, majority }: VersionState): PeerMethodHandler => async () => {
  if (held.version === 0) return null
  const nowMs = options.clock.monotonicMs()
  const ageMs = confirmations.ageMs(nowMs)
  return {
    environment: options.environment,
    version: held.version,
    digest: held.digest,
    currencyAgeMs: Number.isFinite(ageMs) ? ageMs : null,
    holders: majority.encode(nowMs)
  }
}

/** Shuffles members and orders them so that the first ones are in different availability zones. */
const orderAcrossZones = (members: readonly Member[], random: Random): readonly Member[] => {
  const countByZone = new Map<string, number>()
  return members
    .map(member => ({ member, order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .map(({ member }) => {
      const zone = `${member.region}/${member.availabilityZone}`
      const rankInZone = countByZone.get(zone) ?? 0
      countByZone.set(zone, rankInZone + 1)
      return { member, rankInZone }
    })
    .sort((a, b) => a.rankInZone - b.rankInZone)
    .map(({ member }) => member)
}

/**
 * Samples members to query, spread over availability zones.
 *
 * @param options - Peer bus and randomness.
 * @param count - Largest number of members to return.
 * @returns Their instance ids.
 */
export const choosePeers = ({ bus, random }: PeerVersionOptions, count: number): readonly string[] =>
  orderAcrossZones(bus.members().filter(member => member.status !== 'gone'), random).slice(0, count).map(member => member.instanceId)

/**
 * Queries the version that a daemon holds.
 *
 * @param options - Environment, peer bus and clock.
 * @param instanceId - Instance of the daemon.
 * @returns Its version; undefined when there is no valid response or the daemon belongs to another environment.
 */
export const queryVersion = async ({ environment, bus, clock }: PeerVersionOptions, instanceId: string): Promise<PeerVersion | undefined> => {
  const requestedAtMs = clock.monotonicMs()
  const response = await bus.call(instanceId, VERSION_METHOD, null, CALL_TIMEOUT_MS)
  const parsed = versionResponseSchema.safeParse(response.unwrapOr(null))
  if (!parsed.success || parsed.data.environment !== environment) return undefined
  const { version, digest, currencyAgeMs, holders } = parsed.data
  return { version, digest, holders, requestedAtMs, confirmedAtMs: currencyAgeMs === null ? undefined : requestedAtMs - currencyAgeMs }
}
