import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HealthView, PickFailure, PickCriteria, Random, Target, TargetDirectory, TargetPicker, TargetReservation } from '@lovagehoist/common'
import { InFlightCounter } from './inFlightCounter.js'
import { isAllowed } from './choice/chooseTarget.js'

/** Dependencies of the picker. */
export interface TwoChoicesOptions {
  readonly directory: TargetDirectory
  readonly health: HealthView
  readonly random: Random
}

/** Benchmark baseline (power of two choices): draws two random targets and picks the one with fewer of this daemon's requests in flight. */
export class TwoChoicesPicker implements TargetPicker {
  private readonly inFlight = InFlightCounter.create()

  private constructor (private readonly options: TwoChoicesOptions) {}

  /**
   * Creates a picker.
   *
   * @param options - Known targets, their health and randomness.
   * @returns The picker.
   */
  static create (options: TwoChoicesOptions): TwoChoicesPicker {
    return new TwoChoicesPicker(options)
  }

  readonly pick = async (criteria: PickCriteria): Promise<Result<TargetReservation, PickFailure>> => {
    const { directory, health } = this.options
    const usable = directory.targets(criteria.service)
      .filter(target => isAllowed(health.ratingOf(target), criteria) && !criteria.triedTargetIds.has(target.id))
    const first = this.draw(usable)
    if (first === undefined) return err('no-target')
    const second = this.draw(usable) ?? first
    return ok(this.inFlight.reserve(this.inFlight.load(second) < this.inFlight.load(first) ? second : first))
  }

  private draw (targets: readonly Target[]): Target | undefined {
    return targets.length === 0 ? undefined : targets[this.options.random.int(targets.length)]
  }
}
