import { InvalidArgumentError } from 'commander'

/**
 * Reads a whole number from an option.
 *
 * @param text - Text of the option.
 * @returns The number, at least 0; throws when it is none.
 */
export const wholeNumber = (text: string): number => {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError('expected a whole number, at least 0')
  return Number(text)
}
