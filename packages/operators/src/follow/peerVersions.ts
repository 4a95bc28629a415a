import type { Clock, Member, PeerBus, PeerMethod, Random } from '@lovagehoist/common'
import { z } from 'zod'
import type { Currency } from './currency.js'
import type { HeldConfig } from './heldConfig.js'

/** Method by which a daemon tells what it holds and how old its proof is. */
export const VERSION_METHOD = 'config.version'

const CALL_TIMEOUT_MS = 1_000
const PEERS_ASKED = 3

const answerSchema = z.strictObject({
  environment: z.string(),
  version: z.int().min(1),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** Time since the version was certainly the newest accepted one, in milliseconds; null when unknown. */
  currencyAgeMs: z.number().min(0).nullable()
})

/** What a peer holds. */
export interface PeerVersion {
  readonly version: number
  readonly digest: string
  /** Monotonic time of this daemon at which that was certainly the newest; undefined when unknown. */
  readonly currentAtMs: number | undefined
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
 * @param held - Configuration held.
 * @param currency - Proof that it is the newest.
 * @returns Handler; answers null while nothing is held.
 */
export const createVersionMethod = (options: PeerVersionOptions, held: HeldConfig, currency: Currency): PeerMethod => async () => {
  if (held.version === 0) return null
  const ageMs = currency.ageMs(options.clock.monotonicMs())
  return { environment: options.environment, version: held.version, digest: held.digest, currencyAgeMs: Number.isFinite(ageMs) ? ageMs : null }
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
 * Asks several daemons in several availability zones what they hold.
 *
 * @param options - Environment, communication, randomness and clock.
 * @returns The answers of this environment.
 */
export const askVersions = async (options: PeerVersionOptions): Promise<readonly PeerVersion[]> => {
  const { environment, bus, random, clock } = options
  const asked = spreadOverZones(bus.members().filter(member => member.status !== 'gone'), random).slice(0, PEERS_ASKED)
  const answers = await Promise.all(asked.map(async member => {
    const startedAtMs = clock.monotonicMs()
    const reply = await bus.call(member.instanceId, VERSION_METHOD, null, CALL_TIMEOUT_MS)
    const answer = answerSchema.safeParse(reply.unwrapOr(null))
    if (!answer.success || answer.data.environment !== environment) return []
    const { version, digest, currencyAgeMs } = answer.data
    return [{ version, digest, currentAtMs: currencyAgeMs === null ? undefined : startedAtMs - currencyAgeMs }]
  }))
  return answers.flat()
}
