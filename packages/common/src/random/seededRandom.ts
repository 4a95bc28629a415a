import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Random } from './random.js'

const WORD_VALUES = 0x100000000
const ID_WORDS = 4
const HEX_DIGITS_PER_WORD = 8

/** Reproducible pseudo-random numbers from a seed. */
export class SeededRandom implements Random {
  private readonly generator: ReturnType<typeof xoroshiro128plus>

  private constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /**
   * Creates a generator.
   *
   * @param seed - 32-bit integer; equal seeds give equal sequences.
   * @returns The generator.
   */
  static create (seed: number): SeededRandom {
    return new SeededRandom(seed)
  }

  readonly next = (): number => this.word() / WORD_VALUES

  readonly int = (limit: number): number => uniformInt(this.generator, 0, limit - 1)

  readonly id = (): string =>
    Array.from({ length: ID_WORDS }, () => this.word().toString(16).padStart(HEX_DIGITS_PER_WORD, '0')).join('')

  private word (): number {
    return uniformInt(this.generator, 0, WORD_VALUES - 1)
  }
}
