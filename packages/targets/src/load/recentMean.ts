/** Weight of a new sample: the mean covers about the last eight. */
const SAMPLE_WEIGHT = 0.12

/** Mean of recent samples. */
export interface RecentMean {
  readonly mean: number
  readonly samples: number
}

/** A mean without samples. */
export const NO_SAMPLES: RecentMean = { mean: 0, samples: 0 }

/**
 * Takes the mean of some new samples in.
 *
 * @param recent - Mean so far.
 * @param value - Mean of the new samples.
 * @param count - Number of new samples.
 * @returns The new mean.
 */
export const addSamples = (recent: RecentMean, value: number, count: number): RecentMean => {
  const samples = recent.samples + count
  const weight = Math.max(1 - (1 - SAMPLE_WEIGHT) ** count, count / samples)
  return { mean: recent.mean + (value - recent.mean) * Math.min(1, weight), samples }
}
