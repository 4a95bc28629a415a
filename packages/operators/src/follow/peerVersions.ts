import type { Clock, Member, PeerBus, PeerMethodHandler, Random } from '@lovagehoist/common'
import { z } from 'zod'
import type { Currency } from './currency.js'
import type { FleetMajority } from './fleetMajority.js'
import type { HeldConfig } from './heldConfig.js'

/** Method by which a daemon tells what it holds and how old its proof is. */
export const VERSION_METHOD = 'config.version'

const CALL_TIMEOUT_MS = 1_000
const MAX_HOLDERS_CHARACTERS = 65_536

const answerSchema = z.object({
  environment: z.string(),
  version: z.int().min(1),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** Time since the version was certainly the newest accepted one, in milliseconds; null when unknown. */
  currencyAgeMs: z.number().min(0).nullable(),
  /** Which instances were lately known to hold nothing newer. */
  holders: z.base64().max(MAX_HOLDERS_CHARACTERS)
})

/** What a peer holds. */
export interface PeerVersion {
  readonly version: number
  readonly digest: string
  /** Monotonic time of this daemon at which that was certainly the newest; undefined when unknown. */
  readonly currentAtMs: number | undefined
  readonly holders: string
  /** Monotonic time of this daemon at which the peer was asked. */
  readonly askedAtMs: number
}

/** What a daemon tells of. */
export interface VersionState {
  readonly held: HeldConfig
  readonly currency: Currency
  readonly majority: FleetMajority
}

/** What asking peers needs. */
export interface PeerVersionOptions {
  readonly environment: string
  readonly bus: PeerBus
  readonly random: Random
  readonly clock: Clock
}

/**
 * Makes the handler that tells what is held here.
 *
 * @param options - Environment and clock.
 * @param state - What is held here, and the proofs that it is the newest.
 * @returns Handler; answers null while nothing is held.
 */
export const createVersionMethod = (options: PeerVersionOptions, { held, currency, majority }: VersionState): PeerMethodHandler => async () => {
  if (held.version === 0) return null
  const nowMs = options.clock.monotonicMs()
  const ageMs = currency.ageMs(nowMs)
  return {
    environment: options.environment,
    version: held.version,
    digest: held.digest,
    currencyAgeMs: Number.isFinite(ageMs) ? ageMs : null,
    holders: majority.encode(nowMs)
  }
}

/** Orders members so that the first ones lie in different availability zones. */
const spreadOverZones = (members: readonly Member[], random: Random): readonly Member[] => {
  const perZone = new Map<string, number>()
  return members
    .map(member => ({ member, order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .map(({ member }) => {
      const zone = `${member.region}/${member.availabilityZone}`
      const round = perZone.get(zone) ?? 0
      perZone.set(zone, round + 1)
      return { member, round }
    })
    .sort((a, b) => a.round - b.round)
    .map(({ member }) => member)
}

/**
 * Chooses daemons to ask, in several availability zones.
 *
 * @param options - Communication and randomness.
 * @param count - Daemons to choose.
 * @returns Their ids.
 */
export const choosePeers = ({ bus, random }: PeerVersionOptions, count: number): readonly string[] =>
  spreadOverZones(bus.members().filter(member => member.status !== 'gone'), random).slice(0, count).map(member => member.instanceId)

/**
 * Asks a daemon what it holds.
 *
 * @param options - Environment, communication and clock.
 * @param instanceId - The daemon.
 * @returns Its answer; undefined when it gave none or is of another environment.
 */
export const askVersion = async ({ environment, bus, clock }: PeerVersionOptions, instanceId: string): Promise<PeerVersion | undefined> => {
  const askedAtMs = clock.monotonicMs()
  const reply = await bus.call(instanceId, VERSION_METHOD, null, CALL_TIMEOUT_MS)
  const answer = answerSchema.safeParse(reply.unwrapOr(null))
  if (!answer.success || answer.data.environment !== environment) return undefined
  const { version, digest, currencyAgeMs, holders } = answer.data
  return { version, digest, holders, askedAtMs, currentAtMs: currencyAgeMs === null ? undefined : askedAtMs - currencyAgeMs }
}
