import type { ServiceRoom } from '@lovagehoist/common'
import type { Candidate } from './candidate.js'

/**
 * Sums up the capacity of a service. A slow or probably failing target counts in part, with its requests in progress, because the choice of
 * targets avoids it and what waits there says nothing about the others.
 *
 * @param candidates - Targets that may get requests.
 * @param serviceTimeMs - Mean service time of the service.
 * @returns Capacity of the service and its use.
 */
export const describeRoom = (candidates: readonly Candidate[], serviceTimeMs: number): ServiceRoom => {
  let targets = 0
  let slots = 0
  let inProgress = 0
  let refused = 0
  for (const candidate of candidates) {
    const weight = (1 - candidate.failingChance) * Math.min(1, serviceTimeMs / Math.max(1, candidate.serviceTimeMs))
    targets += weight
    slots += weight * candidate.slots
    inProgress += weight * candidate.inProgress
    refused += weight * candidate.refusalShare
  }
  return { targets, slots, inProgress, serviceTimeMs, refusalShare: targets === 0 ? 0 : refused / targets }
}
