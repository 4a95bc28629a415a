import { CommandError } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import type { ExitCodeValue } from '../cli/exitCode.js'
import type { PromotionError, PromotionErrorKind } from '../promotion/promotionError.js'

const exitCodes: Readonly<Record<PromotionErrorKind, ExitCodeValue>> = {
  invalid: ExitCode.badInput,
  'unknown-digest': ExitCode.badInput,
  'not-tried': ExitCode.badInput,
  conflict: ExitCode.conflict,
  unavailable: ExitCode.unavailable,
  unknown: ExitCode.unavailable
}

const prefixes: Readonly<Record<PromotionErrorKind, string>> = {
  invalid: '',
  'unknown-digest': '',
  'not-tried': '',
  conflict: 'not promoted, another promotion won: ',
  unavailable: 'not promoted: ',
  unknown: 'outcome unknown: '
}

/**
 * Converts the failure of a promotion into an error of the command line.
 *
 * @param error - Failure of the promotion.
 * @returns The error, with message and exit code.
 */
export const promotionFailure = (error: PromotionError): CommandError =>
  new CommandError(exitCodes[error.kind], `${prefixes[error.kind]}${error.message}`)
