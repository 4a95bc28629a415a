import { InvalidArgumentError } from 'commander'

/**
 * Parses the value of an option as a whole number.
 *
 * @param text - Value of the option.
 * @returns The number, at least 0; throws an `InvalidArgumentError` for any other text.
 */
export const parseWholeNumber = (text: string): number => {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError('expected a whole number, at least 0')
  return Number(text)
}
