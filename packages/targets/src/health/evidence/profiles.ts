/** Parameters of the outlier detection. */
export interface DetectionProfile {
  /** Bad outcomes of one kind below which a target is not an outlier. */
  readonly minFailures: number
  /** Distance of the lower confidence bound of a target's share of bad outcomes, in standard deviations. */
  readonly deviations: number
  /** The same for the evidence without the daemon or zone that reports the most bad outcomes. */
  readonly remainderDeviations: number
  /** Least excess over the share of the rest of the pool that makes an outlier, as a share of attempts. */
  readonly marginShare: number
  /** Least multiple of the share of the rest of the pool that makes an outlier. */
  readonly ratio: number
  /** Duration of a first ejection, before the trial. */
  readonly holdMs: number
  /** Largest duration of a repeated ejection. */
  readonly maxHoldMs: number
  /** Attempts after which a trial without too many bad outcomes ends with the release of the target. */
  readonly trialAttempts: number
  /** Bad outcomes from which on a trial may end with another ejection. */
  readonly trialFailures: number
}

/** Profiles that the configuration can choose for a service: `fast` reacts earlier, `careful` avoids false ejections. */
export const DETECTION_PROFILES: Readonly<Record<'fast' | 'careful', DetectionProfile>> = {
  fast: {
    minFailures: 4,
    deviations: 2.2,
    remainderDeviations: 1.3,
    marginShare: 0.04,
    ratio: 2.5,
    holdMs: 10_000,
    maxHoldMs: 300_000,
    trialAttempts: 30,
    trialFailures: 3
  },
  careful: {
    minFailures: 8,
    deviations: 3.5,
    remainderDeviations: 2,
    marginShare: 0.08,
    ratio: 4,
    holdMs: 20_000,
    maxHoldMs: 600_000,
    trialAttempts: 60,
    trialFailures: 4
  }
}

/** Thresholds by which a single daemon avoids a target on its own evidence. */
export const LOCAL_PROFILE: Pick<DetectionProfile, 'minFailures' | 'deviations' | 'marginShare' | 'ratio'> = {
  minFailures: 3,
  deviations: 2,
  marginShare: 0.1,
  ratio: 3
}
