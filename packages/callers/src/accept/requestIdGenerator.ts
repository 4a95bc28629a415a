import type { Random } from '@lovagehoist/common'

const PREFIX_DIGITS = 24
const SUFFIX_DIGITS = 8
/** Odd, so that the suffixes of 2^32 successive ids differ; large, so that successive ids differ in many bits. */
const SPREAD_FACTOR = 0x9e3779b1

/** Generates unique request ids of 32 hexadecimal digits, which are also valid trace ids. */
export class RequestIdGenerator {
  private count = 0

  private constructor (private readonly prefix: string) {}

  /**
   * Creates a generator whose ids share a random prefix.
   *
   * @param random - Source of the prefix.
   * @returns The generator.
   */
  static create (random: Random): RequestIdGenerator {
    return new RequestIdGenerator(random.id().slice(0, PREFIX_DIGITS))
  }

  /** Generates the next id. */
  next (): string {
    const suffix = Math.imul(++this.count, SPREAD_FACTOR) >>> 0
    return this.prefix + suffix.toString(16).padStart(SUFFIX_DIGITS, '0')
  }
}
