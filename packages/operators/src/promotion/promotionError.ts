import type { PlatformError } from '@lovagehoist/common'
import type { EnvironmentRow } from '../environment/environmentRow.js'

/**
 * Why a promotion failed. `unavailable`: nothing took effect; `unknown`: it may have taken effect, or may still do so.
 */
export type PromotionErrorKind = 'invalid' | 'conflict' | 'unknown-digest' | 'not-tried' | 'unavailable' | 'unknown'

/** Error of a promotion that failed. */
export interface PromotionError {
  readonly kind: PromotionErrorKind
  readonly message: string
  /** Row of the promotion that won instead. */
  readonly winner?: EnvironmentRow
}

/**
 * Converts a platform error into the error of a promotion that wrote nothing.
 *
 * @param error - Error of the platform.
 * @returns The error of the promotion.
 */
export const unavailableError = (error: PlatformError): PromotionError =>
  ({ kind: 'unavailable', message: `the request to the platform failed, nothing was changed: ${error.message}` })

/**
 * Creates the error of a promotion that lost against another one.
 *
 * @param environment - Name of the environment.
 * @param winner - Accepted row; undefined when there is none.
 * @returns The error of the promotion.
 */
export const conflictError = (environment: string, winner: EnvironmentRow | undefined): PromotionError => {
  if (winner === undefined) return { kind: 'conflict', message: `${environment} has no accepted document, but another version was expected` }
  const message = `${environment} is at version ${winner.version}, promoted by ${winner.promotedBy}: ${winner.digest}`
  return { kind: 'conflict', message, winner }
}
