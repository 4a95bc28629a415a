import { CommandFailure } from '../cli/context.js'
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
 * Turns the failure of a promotion into the end of a command.
 *
 * @param error - Failure.
 * @returns The end of the command.
 */
export const failureOf = (error: PromotionError): CommandFailure =>
  new CommandFailure(exitCodes[error.kind], `${prefixes[error.kind]}${error.message}`)
