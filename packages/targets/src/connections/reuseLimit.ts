import type { Clock } from '@lovagehoist/common'

/** Time without an exchange after which a connection was closed by its target's own limit. */
const USUAL_LIMIT_MS = 30_000
/** A reset that comes this soon after a send on a reused connection came from a target that had forgotten it: a round trip between zones, with room. */
const AT_ONCE_MS = 60
/** Rest that no target is taken to forget: a connection that breaks sooner broke with its target. */
const LEAST_REST_MS = 100
/** Part of the idle time at which a connection was found forgotten that the others are trusted for. */
const TRUSTED_SHARE = 0.5
/** Time without a forgotten connection after which they are trusted again. */
const TRUST_AGAIN_MS = 10_000

/** Learns how long a connection may rest before it is used again: some targets drop idle ones without notice. */
export class ReuseLimit {
  private learnedMs = USUAL_LIMIT_MS
  private foundAtMs = -Infinity

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a limit that has learned nothing.
   *
   * @param clock - Source of time.
   * @returns The limit.
   */
  static create (clock: Clock): ReuseLimit {
    return new ReuseLimit(clock)
  }

  /** Longest time without an exchange after which a connection is used again. */
  get limitMs (): number {
    return this.clock.monotonicMs() - this.foundAtMs < TRUST_AGAIN_MS ? this.learnedMs : USUAL_LIMIT_MS
  }

  /**
   * Notes that a reused connection was reset before it answered.
   *
   * @param idleMs - Time that it had rested.
   * @param latencyMs - Time from the send to the reset.
   * @returns Whether the limit fell.
   */
  noteReset (idleMs: number, latencyMs: number): boolean {
    const { limitMs } = this
    if (latencyMs > AT_ONCE_MS || idleMs < LEAST_REST_MS || idleMs > limitMs) return false
    this.learnedMs = Math.min(limitMs, TRUSTED_SHARE * idleMs)
    this.foundAtMs = this.clock.monotonicMs()
    return true
  }
}
