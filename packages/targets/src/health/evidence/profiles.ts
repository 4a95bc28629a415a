/** Parameters of judging, by the error to avoid first. */
export interface Profile {
  /** Failures below which nothing is judged. */
  readonly minFailures: number
  /** Width of the confidence bound of a target's share of bad outcomes, in standard deviations. */
  readonly deviations: number
  /** Same, for what remains without the daemon or zone that speaks loudest. */
  readonly remainderDeviations: number
  /** Excess over the rest of the pool that counts as sick, as a share of tries. */
  readonly marginShare: number
  /** Multiple of the rest of the pool that counts as sick. */
  readonly ratio: number
  /** Time to hold a target out the first time. */
  readonly holdMs: number
  readonly longestHoldMs: number
  /** Tries of a trial that must go well before a target gets full work. */
  readonly trialTries: number
  /** Bad outcomes that end a trial. */
  readonly trialFailures: number
}

/** Parameters of the profiles that a document can choose for a service. */
export const PROFILES: Readonly<Record<'fast' | 'careful', Profile>> = {
  fast: {
    minFailures: 4,
    deviations: 2.2,
    remainderDeviations: 1.3,
    marginShare: 0.04,
    ratio: 2.5,
    holdMs: 10_000,
    longestHoldMs: 300_000,
    trialTries: 30,
    trialFailures: 3
  },
  careful: {
    minFailures: 8,
    deviations: 3.5,
    remainderDeviations: 2,
    marginShare: 0.08,
    ratio: 4,
    holdMs: 20_000,
    longestHoldMs: 600_000,
    trialTries: 60,
    trialFailures: 4
  }
}

/** Parameters by which one daemon avoids a target on its own evidence. */
export const LOCAL_PROFILE: Pick<Profile, 'minFailures' | 'deviations' | 'marginShare' | 'ratio'> = {
  minFailures: 3,
  deviations: 2,
  marginShare: 0.1,
  ratio: 3
}
