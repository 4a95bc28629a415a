import type { Random } from '@lovagehoist/common'

const PREFIX_DIGITS = 24
const SUFFIX_DIGITS = 8
/** Odd, so that the suffixes of 2^32 successive names differ; spreads them over all bits. */
const SPREAD_FACTOR = 0x9e3779b1

/** Makes unique names of 32 hexadecimal digits, which can also name traces. */
export class RequestNames {
  private count = 0

  private constructor (private readonly prefix: string) {}

  /**
   * Creates names that begin with random digits of their own.
   *
   * @param random - Source of the prefix.
   * @returns The names.
   */
  static create (random: Random): RequestNames {
    return new RequestNames(random.id().slice(0, PREFIX_DIGITS))
  }

  /** Makes the next name. */
  next (): string {
    const suffix = Math.imul(++this.count, SPREAD_FACTOR) >>> 0
    return this.prefix + suffix.toString(16).padStart(SUFFIX_DIGITS, '0')
  }
}
