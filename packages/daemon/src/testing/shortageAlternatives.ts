import { silentLog } from '@lovagehoist/common'
import { ShortageAdmission } from '@lovagehoist/callers'
import type { ShortageCandidate } from '@lovagehoist/callers'
import { CLASSES } from './shortageLoads.js'
import type { CreatePolicy, PolicyContext } from './shortageSimulation.js'

/** Position of a request among ranks, from which the real admission derives its thresholds. */
type RankOf = (candidate: ShortageCandidate) => Pick<ShortageCandidate, 'rank' | 'ranks'>

/** Longest time for which a daemon holds a request at no cost to its caller, as a share of the objective. */
const HELD_SHARE = 1 / 8
const RECHECK_MS = 20
/** Load from which a daemon holds requests, by rank. */
const HOLD_FROM_LOAD = [3, 2, 1.2] as const

const QUIET_METRICS = { setLevel: () => {}, countRefusal: () => {}, setWait: () => {} }

const admissionWithRanks = (rankOf: RankOf): CreatePolicy => ({ clock, random, capacity }) => {
  const admission = ShortageAdmission.create({ clock, random, log: silentLog, capacity, metrics: QUIET_METRICS })
  return { decide: candidate => admission.decide({ ...candidate, ...rankOf(candidate) }) }
}

const loadOf = ({ capacity }: PolicyContext, service: string): number => {
  const { slots, inProgress } = capacity.roomOf(service)
  return slots === 0 ? 0 : inProgress / slots
}

/** Ordering within a daemon: less urgent requests are held for up to an eighth of the objective while the service is busy, then sent. */
const holdByRank: CreatePolicy = context => ({
  decide: ({ service, rank, receivedAtMs, objectiveMs }) => {
    const isHeldLongEnough = context.clock.monotonicMs() - receivedAtMs >= HELD_SHARE * objectiveMs
    const isAdmitted = isHeldLongEnough || loadOf(context, service) < (HOLD_FROM_LOAD[rank] ?? 1)
    return isAdmitted ? { type: 'admitted' } : { type: 'held', forMs: RECHECK_MS }
  }
})

/** The level by rank, asked again for up to an eighth of the objective before the request is refused. */
const holdThenRefuse: CreatePolicy = context => {
  const admission = admissionWithRanks(({ rank, ranks }) => ({ rank, ranks }))(context)
  return {
    decide: candidate => {
      const decision = admission.decide(candidate)
      const isHeldLongEnough = context.clock.monotonicMs() + RECHECK_MS - candidate.receivedAtMs > HELD_SHARE * candidate.objectiveMs
      return decision.type === 'admitted' || isHeldLongEnough ? decision : { type: 'held', forMs: RECHECK_MS }
    }
  }
}

/** Shares by demand: each daemon gets an even part of the capacity as credits, which ranks below the first one may not use up. */
const credits: CreatePolicy = context => {
  const MAX_CREDITS = 3
  const RESERVED_CREDITS = [0, 0.5, 1] as const
  let level = MAX_CREDITS
  let atMs = 0
  return {
    decide: ({ service, rank, objectiveMs }) => {
      const { slots, serviceTimeMs } = context.capacity.roomOf(service)
      const nowMs = context.clock.monotonicMs()
      level = Math.min(MAX_CREDITS, level + (nowMs - atMs) * slots / Math.max(1, serviceTimeMs) / context.daemons)
      atMs = nowMs
      if (loadOf(context, service) < 1 || level - 1 >= (RESERVED_CREDITS[rank] ?? 0)) {
        level = Math.max(0, level - 1)
        return { type: 'admitted' }
      }
      return { type: 'refused', retryDelayMs: (0.1 + 0.25 * context.random.next()) * objectiveMs }
    }
  }
}

/** A level adjusted in steps (DAGOR): each interval it falls by a part of itself while requests wait and rises by a constant otherwise. */
const steppedLevel: CreatePolicy = context => {
  const INTERVAL_MS = 300
  const BUSY_LOAD = 2
  let level = 1
  let atMs = 0
  return {
    decide: ({ service, rank, ranks, objectiveMs }) => {
      const nowMs = context.clock.monotonicMs()
      if (nowMs - atMs >= INTERVAL_MS) {
        atMs = nowMs
        level = loadOf(context, service) > BUSY_LOAD ? Math.max(0.05, level * 0.85) : Math.min(1, level + 0.05)
      }
      const position = (rank + context.random.next()) / ranks
      if (position <= level) return { type: 'admitted' }
      return { type: 'refused', retryDelayMs: (0.1 + 0.25 * context.random.next()) * objectiveMs }
    }
  }
}

const byWork = [...CLASSES].sort((a, b) => a.work - b.work)

/** The ways that the design note weighs, beside first come first served. */
export const ALTERNATIVES: Readonly<Record<string, CreatePolicy>> = {
  'level by rank': admissionWithRanks(({ rank, ranks }) => ({ rank, ranks })),
  'level by rank, held before refusal': holdThenRefuse,
  'one level for all': admissionWithRanks(() => ({ rank: 0, ranks: 1 })),
  'level by work': admissionWithRanks(({ rank, ranks }) => ({ rank: byWork.findIndex(({ priority }) => priority === CLASSES[rank]?.priority), ranks })),
  'ordering within a daemon': holdByRank,
  'shares by demand': credits,
  'level in steps': steppedLevel
}
