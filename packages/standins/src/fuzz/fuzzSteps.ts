import fc from 'fast-check'
import type { PlatformFaults } from '../platform/platformFaults.js'
import type { TargetBehaviour } from '../target/behaviour.js'

/** Sends a request. */
export interface RequestStep {
  readonly type: 'request'
  readonly daemon: number
  readonly kind: 'read' | 'pay' | 'keyed'
  /** Selects one of the idempotency keys in use at the time. */
  readonly keyIndex: number
  readonly responseBytes: number
  /** Deadline that the caller sends; 0 for none. */
  readonly timeoutMs: number
  /** Time after which the caller aborts the request; 0 for never. */
  readonly abortAfterMs: number
}

/** Changes the behaviour of a target. */
export interface TargetStep {
  readonly type: 'target'
  readonly target: number
  readonly change: Partial<TargetBehaviour>
}

/** Changes the behaviour of the platform. */
export interface PlatformStep {
  readonly type: 'platform'
  readonly change: Pick<PlatformFaults, 'isDown' | 'lostAnswerShare' | 'delayMs'>
}

/** One action of a caller, a target or the platform. */
export type FuzzStep = RequestStep | TargetStep | PlatformStep

const TARGETS = 4
const DAEMONS = 2
const KEYS_IN_USE = 4

const requestStep: fc.Arbitrary<FuzzStep> = fc.record({
  type: fc.constant('request' as const),
  daemon: fc.nat(DAEMONS - 1),
  kind: fc.constantFrom('read' as const, 'pay' as const, 'keyed' as const),
  keyIndex: fc.nat(KEYS_IN_USE - 1),
  responseBytes: fc.constantFrom(64, 300, 3_000, 400_000),
  timeoutMs: fc.constantFrom(0, 0, 0, 0, 40),
  abortAfterMs: fc.constantFrom(0, 0, 0, 0, 0, 0, 3)
})

const connectionBreak = fc.record({
  breakAt: fc.constantFrom('after-accept', 'after-head', 'mid-body', 'after-body', 'after-run', 'after-status', 'mid-answer', 'before-last-byte' as const),
  breakShare: fc.constantFrom(0.1, 0.4)
})

const targetChange = fc.oneof(
  { weight: 4, arbitrary: fc.constant({ breakShare: 0, failShare: 0, stallShare: 0, isDraining: false, isSilent: false, slots: 6, maxWaiting: 6 }) },
  { weight: 4, arbitrary: connectionBreak },
  { weight: 1, arbitrary: fc.constant({ failShare: 0.3 }) },
  { weight: 1, arbitrary: fc.constant({ stallShare: 0.1 }) },
  { weight: 1, arbitrary: fc.constant({ isSilent: true }) },
  { weight: 1, arbitrary: fc.constant({ slots: 1, maxWaiting: 0 }) }
)

const targetStep = fc.record({ type: fc.constant('target' as const), target: fc.nat(TARGETS - 1), change: targetChange }) as fc.Arbitrary<FuzzStep>
const platformChange = fc.constantFrom(
  { isDown: false, lostAnswerShare: 0, delayMs: 0 },
  { isDown: true, lostAnswerShare: 0, delayMs: 0 },
  { isDown: false, lostAnswerShare: 0.5, delayMs: 5 },
  { isDown: false, lostAnswerShare: 0.1, delayMs: 50 }
)

const platformStep: fc.Arbitrary<FuzzStep> = fc.record({ type: fc.constant('platform' as const), change: platformChange })

const step = fc.oneof({ weight: 60, arbitrary: requestStep }, { weight: 3, arbitrary: targetStep }, { weight: 1, arbitrary: platformStep })

/**
 * Generates a random sequence of steps.
 *
 * @param seed - Seed; the same seed generates the same sequence.
 * @param count - Number of steps.
 * @returns The steps.
 */
export const drawSteps = (seed: number, count: number): readonly FuzzStep[] => fc.sample(step, { seed, numRuns: count })

/** Number of targets and daemons that the steps refer to. */
export const FUZZ_SIZES = { targets: TARGETS, daemons: DAEMONS } as const
