import type { TargetChoice, ChoiceInputs, ChoiceCriteria, Clock, Random, TargetSelector } from '@lovagehoist/common'
import type { TargetBoard } from '../load/targetBoard.js'
import type { TargetRoster } from '../roster/targetRoster.js'
import { place } from './placement.js'
import type { Candidate } from './placement.js'

/** What choosing needs. */
export interface TargetChooserOptions {
  readonly roster: TargetRoster
  readonly board: TargetBoard
  readonly clock: Clock
  readonly random: Random
  readonly availabilityZone: string
  /** Whether a connection to a target is idle that suits a request. */
  readonly hasIdle: (targetId: string, isIdempotent: boolean) => boolean
}

/** Time after a start in which all targets get some work. */
const YOUNG_MS = 10_000

const round = (share: number): number => Math.round(share * 1_000) / 1_000

/** Chooses targets by the roster and the board. */
export class TargetChooser implements TargetSelector {
  private readonly startedAtMs: number

  private constructor (private readonly options: TargetChooserOptions) {
    this.startedAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates a chooser.
   *
   * @param options - Roster, board and connections.
   * @returns The chooser.
   */
  static create (options: TargetChooserOptions): TargetChooser {
    return new TargetChooser(options)
  }

  /**
   * Chooses a target and counts the request there.
   *
   * @param need - Request.
   * @returns The target with its open try, or why there is none.
   */
  readonly choose = (need: ChoiceCriteria): TargetChoice => {
    const { roster, board, clock, random, availabilityZone, hasIdle } = this.options
    const nowMs = clock.monotonicMs()
    const entries = roster.ofService(need.service).filter(({ target }) => !need.triedTargetIds.has(target.id))
    const candidates = entries.map(entry => board.candidate(entry, availabilityZone, hasIdle(entry.target.id, need.isIdempotent)))
    const placement = place(candidates, { leftMs: need.deadlineAtMs - nowMs, yieldsSlots: need.hasHigherPriorityTraffic, isYoung: nowMs - this.startedAtMs < YOUNG_MS }, random)
    if (placement.type !== 'placed') return placement
    const index = candidates.findIndex(({ targetId }) => targetId === placement.targetId)
    const entry = entries[index]
    const candidate = candidates[index]
    if (entry === undefined || candidate === undefined) return { type: 'no-target' }
    return { type: 'chosen', target: entry.target, inputs: this.inputsOf(candidate, placement.waitMs), attempt: board.begin(entry.target.id, need.service) }
  }

  private inputsOf ({ inProgress, failingChance, refusalShare, serviceTimeMs, isOwnZone, isConnected }: Candidate, waitMs: number): ChoiceInputs {
    const listingAgeMs = Math.round(this.options.clock.monotonicMs() - this.options.roster.confirmedAtMs)
    return { inProgress, failingChance: round(failingChance), refusalShare: round(refusalShare), serviceTimeMs: Math.round(serviceTimeMs), isOwnZone, isConnected, waitMs: Math.round(waitMs), listingAgeMs }
  }
}
