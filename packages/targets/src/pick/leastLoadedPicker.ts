import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HealthView, PickFailure, PickCriteria, Target, TargetDirectory, TargetPicker, TargetReservation } from '@lovagehoist/common'
import { InFlight } from './inFlight.js'

/** What the picker needs. */
export interface LeastLoadedOptions {
  readonly directory: TargetDirectory
  readonly health: HealthView
}

/** Baseline of measurements: the target with the fewest requests in flight from this daemon. */
export class LeastLoadedPicker implements TargetPicker {
  private readonly inFlight = InFlight.create()

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

  readonly pick = async (need: PickCriteria): Promise<Result<TargetReservation, PickFailure>> => {
    const usable = this.options.directory.targets(need.service).filter(target => this.isUsable(target, need))
    const [first, ...others] = usable
    if (first === undefined) return err('no-target')
    const best = others.reduce((least, target) => this.inFlight.load(target) < this.inFlight.load(least) ? target : least, first)
    return ok(this.inFlight.reserve(best))
  }

  private isUsable (target: Target, need: PickCriteria): boolean {
    const rating = this.options.health.ratingOf(target)
    return rating.weight > 0 && (need.isIdempotent || !rating.idempotentOnly) && !need.triedTargetIds.has(target.id)
  }
}
