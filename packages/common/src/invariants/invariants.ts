import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../time/clock.js'
import type { Log, LogFields } from '../log/log.js'

/** Name of a property that the daemon checks at run time. */
export type InvariantName =
  | 'floor'
  | 'at-most-once'
  | 'not-run'
  | 'version-monotonic'
  | 'slot-count'
  | 'byte-budget'
  | 'lease-fence'
  | 'whole-answer'
  | 'buffer-budget'

/** A detected breach of an invariant. */
export interface InvariantBreach {
  readonly name: InvariantName
  readonly atMs: number
  readonly fields: LogFields
}

/** Options of the invariant checker. */
export interface InvariantOptions {
  readonly clock: Clock
  readonly log: Log
  readonly registry: Registry
  /** Called at each breach; tests let it throw. */
  readonly onBreach?: (breach: InvariantBreach) => void
}

const MAX_RECENT_BREACHES = 50

/** Checks invariants at run time: a breach is counted, logged and listed in the state dump. */
export class Invariants {
  private readonly recentBreaches: InvariantBreach[] = []
  private readonly counter: Counter<'name'>

  private constructor (private readonly options: InvariantOptions) {
    this.counter = new Counter({
      name: 'lovagehoist_invariant_breaches_total',
      help: 'Breaches of invariants asserted by the daemon.',
      labelNames: ['name'],
      registers: [options.registry]
    })
  }

  /**
   * Creates a checker.
   *
   * @param options - Clock, logger and registry to report breaches to.
   * @returns The checker.
   */
  static create (options: InvariantOptions): Invariants {
    return new Invariants(options)
  }

  /**
   * Checks an invariant and reports a breach when it does not hold.
   *
   * @param name - Name of the invariant.
   * @param holds - Whether it holds now.
   * @param fields - Details, reported when it does not hold.
   */
  check (name: InvariantName, holds: boolean, fields: LogFields = {}): void {
    if (holds) return
    const breach: InvariantBreach = { name, atMs: this.options.clock.wallMs(), fields }
    this.counter.inc({ name })
    this.options.log.error('invariant breached', { name, ...fields })
    this.recentBreaches.push(breach)
    if (this.recentBreaches.length > MAX_RECENT_BREACHES) this.recentBreaches.shift()
    this.options.onBreach?.(breach)
  }

  /** Most recent breaches, oldest first. */
  breaches (): readonly InvariantBreach[] {
    return this.recentBreaches
  }
}
