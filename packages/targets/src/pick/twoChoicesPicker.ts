import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HealthView, PickFailure, PickCriteria, Random, Target, TargetDirectory, TargetPicker, TargetReservation } from '@lovagehoist/common'
import { InFlight } from './inFlight.js'
import { isAllowed } from './choice/chooseTarget.js'

/** What the picker needs. */
export interface TwoChoicesOptions {
  readonly directory: TargetDirectory
  readonly health: HealthView
  readonly random: Random
}

/** Baseline of measurements: the less loaded of two targets drawn at random, by this daemon's own requests. */
export class TwoChoicesPicker implements TargetPicker {
  private readonly inFlight = InFlight.create()

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

  readonly pick = async (need: PickCriteria): Promise<Result<TargetReservation, PickFailure>> => {
    const { directory, health } = this.options
    const usable = directory.targets(need.service)
      .filter(target => isAllowed(health.ratingOf(target), need) && !need.triedTargetIds.has(target.id))
    const first = this.draw(usable)
    if (first === undefined) return err('no-target')
    const second = this.draw(usable) ?? first
    return ok(this.inFlight.reserve(this.inFlight.load(second) < this.inFlight.load(first) ? second : first))
  }

  private draw (targets: readonly Target[]): Target | undefined {
    return targets.length === 0 ? undefined : targets[this.options.random.int(targets.length)]
  }
}
