import { expect } from 'chai'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ListedTarget } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { TargetStatsTracker } from '../load/targetStatsTracker.js'
import { LowestCostSelector } from '../placing/lowestCostSelector.js'
import { TargetRegistry } from '../registry/targetRegistry.js'
import { TargetRests } from './targetRests.js'

const TARGETS = 9
const RESTING_TARGETS = 3
const REQUESTS_PER_SECOND = 25
const SECONDS = 20
const REST_SECONDS = 3
/** Targets refuse requests in this part of each period, and ask for rest again and again. */
const PERIOD_MS = 8_000
const REFUSING_MS = 5_000
const NETWORK_MS = 4
/** Share of the requests that wait for a new connection, and the longest time that this takes. */
const CONNECTING_SHARE = 0.2
const MAX_CONNECT_MS = 400
const WORK_MS = 300
/** Time after a refusal from which the platform's rules count requests. */
const UNCOUNTED_MS = 500
/** Targets that are not at rest get a request within this time. */
const MAX_IDLE_MS = 2_000

interface Daemon {
  readonly selector: LowestCostSelector
  readonly rests: TargetRests
  /** Ends of the rests and times of the refusals that asked for them, by target. */
  readonly refusals: Map<string, Array<{ readonly atMs: number, readonly endsAtMs: number }>>
}

/** Runs selectors of a fleet against targets that ask for rest, in virtual time. */
const simulate = async (daemons: number, seed: number): Promise<{ readonly sentDuringRest: number, readonly refused: number, readonly longestIdleMs: number }> => {
  const clock = ManualClock.create()
  const random = SeededRandom.create(seed)
  const targets = Array.from({ length: TARGETS }, (_, index): ListedTarget => ({ ...fakeTarget(`t${index}`), service: 's', coldForMs: 0 }))
  const registry = TargetRegistry.create({ clock, log: silentLog, onForget: () => {} })
  registry.apply({ storeVersion: 1, targets, skipped: [] }, 0)
  const arrivals = new Map<string, number[]>(targets.map(({ id }) => [id, []]))
  let refused = 0
  let sentDuringRest = 0
  const isRefusing = (index: number): boolean => index < RESTING_TARGETS && (clock.monotonicMs() + index * 700) % PERIOD_MS < REFUSING_MS

  const createDaemon = (): Daemon => {
    const rests = TargetRests.create({ clock, random, log: silentLog })
    const statsTracker = TargetStatsTracker.create(clock, registry.serviceOf)
    const limits = { allows: () => true, recordDemand: () => {}, recordSent: () => {}, recordRefused: () => 0 }
    return { rests, refusals: new Map(), selector: LowestCostSelector.create({ registry, rests, leaving: { has: () => false, isLastResort: () => false }, statsTracker, clock, random, availabilityZone: 'a', limits, floorShare: () => 0.7, hasIdle: () => true }) }
  }

  const arrive = ({ rests, refusals }: Daemon, target: ListedTarget, end: (outcome: 'refused' | 'succeeded' | 'unknown') => void): void => {
    const nowMs = clock.monotonicMs()
    if (rests.isResting(target)) {
      end('unknown')
      return
    }
    arrivals.get(target.id)?.push(nowMs)
    const known = refusals.get(target.id) ?? []
    const latest = known.findLast(({ endsAtMs }) => endsAtMs > nowMs)
    if (latest !== undefined && nowMs > latest.atMs + UNCOUNTED_MS) sentDuringRest++
    if (!isRefusing(targets.indexOf(target))) {
      clock.after(WORK_MS, () => { end('succeeded') })
      return
    }
    refused++
    clock.after(NETWORK_MS, () => {
      refusals.set(target.id, [...known, { atMs: clock.monotonicMs(), endsAtMs: clock.monotonicMs() + REST_SECONDS * 1_000 }])
      rests.recordAnswer(target, 503, ['retry-after', String(REST_SECONDS)])
      end('refused')
    })
  }

  const send = (daemon: Daemon): void => {
    clock.after(-Math.log(1 - random.next()) * 1_000 / REQUESTS_PER_SECOND, () => {
      send(daemon)
      const choice = daemon.selector.choose({ service: 's', isIdempotent: false, hasHigherPriorityTraffic: false, triedTargetIds: new Set(), deadlineAtMs: clock.monotonicMs() + 6_000 })
      if (choice.type !== 'chosen') return
      const delayMs = random.next() < CONNECTING_SHARE ? MAX_CONNECT_MS * random.next() : NETWORK_MS
      clock.after(delayMs, () => { arrive(daemon, choice.target, outcome => { choice.attempt.end(outcome, WORK_MS) }) })
    })
  }
  for (let index = 0; index < daemons; index++) send(createDaemon())
  // Each step is one turn of the event loop: nothing here waits for anything but the clock.
  await clock.advanceMs(SECONDS * 1_000)
  const awake = targets.slice(RESTING_TARGETS).flatMap(({ id }) => arrivals.get(id)?.map((atMs, index, all) => atMs - (all[index - 1] ?? 0)) ?? [])
  return { sentDuringRest, refused, longestIdleMs: Math.max(...awake) }
}

describe('rests of targets, in a whole fleet', () => {
  for (const daemons of [8, 36, 80]) {
    it(`are kept by each of ${daemons} daemons, also for requests that were waiting for a connection`, async () => {
      const { sentDuringRest, refused, longestIdleMs } = await simulate(daemons, 5)
      expect(sentDuringRest).to.equal(0)
      expect(refused).to.be.at.most(2 * daemons * RESTING_TARGETS * Math.ceil(SECONDS / REST_SECONDS))
      expect(longestIdleMs).to.be.below(MAX_IDLE_MS)
    })
  }
})
