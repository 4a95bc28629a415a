import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HealthView, PickFailure, PickNeed, Random, Target, TargetDirectory, TargetPicker, TargetReservation } from '@lovagehoist/common'
import { isAllowed } from './choice/chooseTarget.js'

/** What the picker needs. */
export interface TwoChoicesOptions {
  readonly directory: TargetDirectory
  readonly health: HealthView
  readonly random: Random
}

/** Baseline of measurements: the less loaded of two targets drawn at random, by this daemon's own requests. */
export class TwoChoicesPicker implements TargetPicker {
  private readonly inFlight = new Map<string, number>()

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

  readonly pick = async (need: PickNeed): Promise<Result<TargetReservation, PickFailure>> => {
    const { directory, health } = this.options
    const usable = directory.targets(need.service)
      .filter(target => isAllowed(health.rate(target), need) && !need.triedTargetIds.has(target.id))
    const first = this.draw(usable)
    if (first === undefined) return err('no-target')
    const second = this.draw(usable) ?? first
    return ok(this.reserve(this.load(second) < this.load(first) ? second : first))
  }

  private draw (targets: readonly Target[]): Target | undefined {
    return targets.length === 0 ? undefined : targets[this.options.random.int(targets.length)]
  }

  private load (target: Target): number {
    return (this.inFlight.get(target.id) ?? 0) / Math.max(1, target.slots)
  }

  private reserve (target: Target): TargetReservation {
    this.inFlight.set(target.id, (this.inFlight.get(target.id) ?? 0) + 1)
    let isHeld = true
    const release = (): void => {
      if (!isHeld) return
      isHeld = false
      this.inFlight.set(target.id, (this.inFlight.get(target.id) ?? 1) - 1)
    }
    return { target, release }
  }
}
