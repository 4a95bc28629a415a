import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HealthView, PickFailure, PickCriteria, Target, TargetDirectory, TargetPicker, TargetReservation } from '@lovagehoist/common'
import { InFlightCounter } from './inFlightCounter.js'

/** Dependencies of the picker. */
export interface LeastLoadedOptions {
  readonly directory: TargetDirectory
  readonly health: HealthView
}

/** Benchmark baseline: picks the target with the fewest of this daemon's requests in flight, relative to its slots. */
export class LeastLoadedPicker implements TargetPicker {
  private readonly inFlight = InFlightCounter.create()

  private constructor (private readonly options: LeastLoadedOptions) {}

  /**
   * Creates a picker.
   *
   * @param options - Known targets and their health.
   * @returns The picker.
   */
  static create (options: LeastLoadedOptions): LeastLoadedPicker {
    return new LeastLoadedPicker(options)
  }

  readonly pick = async (criteria: PickCriteria): Promise<Result<TargetReservation, PickFailure>> => {
    const usable = this.options.directory.targets(criteria.service).filter(target => this.isUsable(target, criteria))
    const [first, ...others] = usable
    if (first === undefined) return err('no-target')
    const best = others.reduce((least, target) => this.inFlight.load(target) < this.inFlight.load(least) ? target : least, first)
    return ok(this.inFlight.reserve(best))
  }

  private isUsable (target: Target, criteria: PickCriteria): boolean {
    const rating = this.options.health.ratingOf(target)
    return rating.weight > 0 && (criteria.isIdempotent || !rating.idempotentOnly) && !criteria.triedTargetIds.has(target.id)
  }
}
