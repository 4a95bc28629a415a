import type { PlatformError } from '@lovagehoist/common'
import type { EnvironmentRow } from '../environment/environmentRow.js'

/**
 * Why a promotion did not win. `unavailable`: nothing took effect; `unknown`: it may have taken effect, or may yet.
 */
export type PromotionErrorKind = 'invalid' | 'conflict' | 'unknown-digest' | 'not-tried' | 'unavailable' | 'unknown'

/** A promotion that did not win. */
export interface PromotionError {
  readonly kind: PromotionErrorKind
  readonly message: string
  /** The promotion that won instead. */
  readonly winner?: EnvironmentRow
}

/**
 * Turns a failed read into the failure of a promotion that wrote nothing.
 *
 * @param error - Failure of the platform.
 * @returns The failure of the promotion.
 */
export const unavailable = (error: PlatformError): PromotionError =>
  ({ kind: 'unavailable', message: `the platform gave no answer, nothing was changed: ${error.message}` })

/**
 * Tells the loser of a promotion who won.
 *
 * @param environment - Environment.
 * @param winner - Row that won; undefined when there is none.
 * @returns The failure of the promotion.
 */
export const conflictWith = (environment: string, winner: EnvironmentRow | undefined): PromotionError => {
  if (winner === undefined) return { kind: 'conflict', message: `${environment} has no accepted document, while another version was expected` }
  const message = `${environment} is at version ${winner.version}, promoted by ${winner.promotedBy}: ${winner.digest}`
  return { kind: 'conflict', message, winner }
}
