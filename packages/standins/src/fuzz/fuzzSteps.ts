import fc from 'fast-check'
import type { PlatformSwitches } from '../platform/platformSwitches.js'
import type { TargetBehaviour } from '../target/behaviour.js'

/** A request of the fuzzing. */
export interface RequestStep {
  readonly type: 'request'
  readonly daemon: number
  readonly kind: 'read' | 'pay' | 'keyed'
  /** Chooses one of the keys that are in use at the time. */
  readonly key: number
  readonly answerBytes: number
  /** Deadline that the caller names; 0 for none. */
  readonly timeoutMs: number
  /** Time after which the caller leaves; 0 for never. */
  readonly leaveAfterMs: number
}

/** A change of a target's behaviour. */
export interface TargetStep {
  readonly type: 'target'
  readonly target: number
  readonly change: Partial<TargetBehaviour>
}

/** A change of the platform's behaviour. */
export interface PlatformStep {
  readonly type: 'platform'
  readonly change: Pick<PlatformSwitches, 'isDown' | 'lostAnswerShare' | 'delayMs'>
}

/** One action of a caller, a target or the platform. */
export type FuzzStep = RequestStep | TargetStep | PlatformStep

const TARGETS = 4
const DAEMONS = 2
const KEYS_AT_ONCE = 4

const request: fc.Arbitrary<FuzzStep> = fc.record({
  type: fc.constant('request' as const),
  daemon: fc.nat(DAEMONS - 1),
  kind: fc.constantFrom('read' as const, 'pay' as const, 'keyed' as const),
  key: fc.nat(KEYS_AT_ONCE - 1),
  answerBytes: fc.constantFrom(64, 300, 3_000, 400_000),
  timeoutMs: fc.constantFrom(0, 0, 0, 0, 40),
  leaveAfterMs: fc.constantFrom(0, 0, 0, 0, 0, 0, 3)
})

const breaking = fc.record({
  breakAt: fc.constantFrom('after-accept', 'after-head', 'mid-body', 'after-body', 'after-run', 'after-status', 'mid-answer', 'before-last-byte' as const),
  breakShare: fc.constantFrom(0.1, 0.4)
})

const change = fc.oneof(
  { weight: 4, arbitrary: fc.constant({ breakShare: 0, failShare: 0, stallShare: 0, isDraining: false, isSilent: false, slots: 6, maxWaiting: 6 }) },
  { weight: 4, arbitrary: breaking },
  { weight: 1, arbitrary: fc.constant({ failShare: 0.3 }) },
  { weight: 1, arbitrary: fc.constant({ stallShare: 0.1 }) },
  { weight: 1, arbitrary: fc.constant({ isSilent: true }) },
  { weight: 1, arbitrary: fc.constant({ slots: 1, maxWaiting: 0 }) }
)

const target = fc.record({ type: fc.constant('target' as const), target: fc.nat(TARGETS - 1), change }) as fc.Arbitrary<FuzzStep>
const platformChange = fc.constantFrom(
  { isDown: false, lostAnswerShare: 0, delayMs: 0 },
  { isDown: true, lostAnswerShare: 0, delayMs: 0 },
  { isDown: false, lostAnswerShare: 0.5, delayMs: 5 },
  { isDown: false, lostAnswerShare: 0.1, delayMs: 50 }
)

const platform: fc.Arbitrary<FuzzStep> = fc.record({ type: fc.constant('platform' as const), change: platformChange })

const step = fc.oneof({ weight: 60, arbitrary: request }, { weight: 3, arbitrary: target }, { weight: 1, arbitrary: platform })

/**
 * Draws a sequence of steps.
 *
 * @param seed - Seed; equal seeds give equal sequences.
 * @param count - Number of steps.
 * @returns The steps.
 */
export const drawSteps = (seed: number, count: number): readonly FuzzStep[] => fc.sample(step, { seed, numRuns: count })

/** Targets and daemons that steps name. */
export const FUZZ_SIZES = { targets: TARGETS, daemons: DAEMONS } as const
