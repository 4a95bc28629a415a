/** Weight of a new sample; the mean covers about the last eight samples. */
const SAMPLE_WEIGHT = 0.12

/** Exponentially weighted moving average. */
export interface RecentMean {
  readonly mean: number
  readonly samples: number
}

/** Average before the first sample. */
export const NO_SAMPLES: RecentMean = { mean: 0, samples: 0 }

/**
 * Adds new samples to the average.
 *
 * @param recent - Average so far.
 * @param value - Mean of the new samples.
 * @param count - Number of new samples.
 * @returns The new average.
 */
export const addSamples = (recent: RecentMean, value: number, count: number): RecentMean => {
  const samples = recent.samples + count
  const weight = Math.max(1 - (1 - SAMPLE_WEIGHT) ** count, count / samples)
  return { mean: recent.mean + (value - recent.mean) * Math.min(1, weight), samples }
}
