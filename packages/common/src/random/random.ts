/** Source of randomness; injected everywhere so that tests are reproducible. */
export interface Random {
  /** Uniform number in [0, 1). */
  readonly next: () => number
  /**
   * Uniform integer.
   *
   * @param limit - Exclusive upper bound, at least 1.
   */
  readonly int: (limit: number) => number
  /** 128 random bits as 32 lower-case hexadecimal digits. */
  readonly id: () => string
}
