import type { ChoiceInputs } from '@lovagehoist/common'

/** Properties of a target that decide whether a request is sent there. */
export interface Candidate extends Omit<ChoiceInputs, 'waitMs' | 'listingAgeMs' | 'isProbe'> {
  readonly targetId: string
  readonly slots: number
  /** Whether no daemon known to this one has used the target yet. */
  readonly isNew: boolean
}

/** Properties of the request that decide its placement. */
export interface PlacementRequest {
  /** Time left until the response is due. */
  readonly remainingMs: number
  /** Whether the request may be sent again after a failure. */
  readonly isIdempotent?: boolean
  /** Whether the request was sent to a target before. */
  readonly isRetry?: boolean
  /** Share of the service's targets that must be in use; below it, requests that can't be retried also go to probably failing targets. */
  readonly minUsedShare?: number
  /** Whether the request must leave reserved slots free for higher-priority requests at the same targets. */
  readonly hasHigherPriorityTraffic: boolean
  /** Whether this daemon started recently and does not know yet which targets others use. */
  readonly isRecentlyStarted?: boolean
}
