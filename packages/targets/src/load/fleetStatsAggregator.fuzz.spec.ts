import { expect } from 'chai'
import fc from 'fast-check'
import { ManualClock } from '@lovagehoist/common/testing'
import type { TargetCounters } from '@lovagehoist/common'
import { FleetStatsAggregator } from './fleetStatsAggregator.js'

const SEED = 43
const RUNS = 200
const DAEMONS = 4
const TARGETS = 3

/** One step: a daemon's counters of a target change and are reported, or the datagram is lost, and time passes. */
interface Step {
  readonly daemon: number
  readonly target: number
  readonly change: number
  readonly outcome: 'succeeded' | 'failed' | 'failedLate' | 'failedEarly' | 'refused'
  readonly isLost: boolean
  readonly isFull: boolean
  readonly passedMs: number
}

const step: fc.Arbitrary<Step> = fc.record({
  daemon: fc.nat(DAEMONS - 1),
  target: fc.nat(TARGETS - 1),
  change: fc.integer({ min: -2, max: 3 }),
  outcome: fc.constantFrom('succeeded', 'failed', 'failedLate', 'failedEarly', 'refused'),
  isLost: fc.boolean(),
  isFull: fc.boolean(),
  passedMs: fc.nat(300)
})

const EMPTY: TargetCounters = { inProgress: 0, succeeded: 0, failed: 0, failedLate: 0, failedEarly: 0, refused: 0, latencySquares: 0 }

describe('FleetStatsAggregator (fuzz)', () => {
  it('keeps the latest report of each daemon and never counts an outcome twice', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const clock = ManualClock.create()
      const aggregator = FleetStatsAggregator.create(clock)
      const counted = Array.from({ length: DAEMONS }, () => Array.from({ length: TARGETS }, () => EMPTY))
      const reported = Array.from({ length: DAEMONS }, () => Array.from({ length: TARGETS }, () => EMPTY))
      for (let daemon = 0; daemon < DAEMONS; daemon++) aggregator.applyDaemonReport(`d${daemon}`, [], true)
      for (const { daemon, target, change, outcome, isLost, isFull, passedMs } of steps) {
        const own = counted[daemon] ?? []
        const before = own[target] ?? EMPTY
        own[target] = { ...before, inProgress: Math.max(0, before.inProgress + change), [outcome]: before[outcome] + 1 }
        if (!isLost) {
          const rows = own.flatMap((current, index) => isFull || index === target ? [[`t${index}`, current] as const] : [])
          aggregator.applyDaemonReport(`d${daemon}`, rows, isFull)
          for (const [id, current] of rows) (reported[daemon] ?? [])[Number(id.slice(1))] = current
        }
        clock.jumpMs(passedMs / steps.length)
      }
      for (const [id, total] of aggregator.ownZoneCounters()) {
        const index = Number(id.slice(1))
        for (const field of ['inProgress', 'succeeded', 'failed', 'failedLate', 'failedEarly', 'refused'] as const) {
          const expected = reported.reduce((sum, counters) => sum + (counters[index]?.[field] ?? 0), 0)
          expect(total[field], `${field} of ${id}`).to.equal(expected)
        }
      }
      for (const [, { failingChance, refusalShare }] of aggregator.targetStats()) {
        expect(failingChance).to.be.within(0, 1)
        expect(refusalShare).to.be.within(0, 1)
      }
    }), { seed: SEED, numRuns: RUNS })
  })
})
