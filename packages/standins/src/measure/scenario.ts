import type { JsonValue } from '@lovagehoist/common'

/** Arguments of a measurement. */
export interface ScenarioArguments {
  readonly seed: number
  readonly instances: number
  readonly durationMs: number
  readonly variant: 'fleet' | 'baseline'
  /** Profile of the measured service. */
  readonly profile: 'fast' | 'careful'
  /** Way to share slots that replaces the variant's own; absent for that one. */
  readonly slots?: string
  /** Writes a line of progress. */
  readonly progress: (line: string) => void
}

/** Fields that every measurement prints; null when one could not be measured. */
export interface CommonFigures {
  readonly scenario: string
  readonly variant: string
  readonly seed: number
  readonly instances: number
  readonly targets: number
  readonly requests: number
  readonly wrongAnswers: number | null
  readonly duplicateRuns: number | null
  readonly falseNotRun: number | null
  readonly floorBreaches: number | null
  readonly invariantBreaches: number | null
}

/** Figures of a measurement. */
export type Figures = CommonFigures & { readonly [field: string]: JsonValue }

/** A measurement that can be run by name. */
export interface Scenario {
  readonly name: string
  readonly summary: string
  readonly defaultInstances: number
  readonly defaultSeconds: number
  readonly run: (args: ScenarioArguments) => Promise<Figures>
}
