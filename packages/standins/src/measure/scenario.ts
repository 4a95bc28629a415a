import type { JsonValue } from '@lovagehoist/common'
import type { LinkCut } from '../gateway/daemonLinks.js'

/** Arguments of a scenario. */
export interface ScenarioArguments {
  readonly seed: number
  readonly instances: number
  readonly durationMs: number
  readonly variant: 'fleet' | 'baseline'
  /** Profile of the measured service. */
  readonly profile: 'fast' | 'careful'
  /** How links to targets are cut. */
  readonly kind: LinkCut
  /** Slot-sharing policy; the default of the variant applies when absent. */
  readonly slots?: string
  /** Writes a line of progress. */
  readonly progress: (line: string) => void
}

/** Fields that every scenario prints; null where the scenario does not measure a field. */
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

/** Figures that a scenario prints. */
export type Figures = CommonFigures & { readonly [field: string]: JsonValue }

/** Measurement that can be run by name from the command line. */
export interface Scenario {
  readonly name: string
  readonly summary: string
  readonly defaultInstances: number
  readonly defaultSeconds: number
  readonly run: (args: ScenarioArguments) => Promise<Figures>
}
