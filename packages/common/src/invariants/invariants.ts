import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../time/clock.js'
import type { Log, LogFields } from '../log/log.js'

/** Name of a property that the daemon asserts while it runs. */
export type InvariantName =
  | 'floor'
  | 'at-most-once'
  | 'not-run'
  | 'version-monotonic'
  | 'slot-count'
  | 'byte-budget'
  | 'lease-fence'
  | 'whole-answer'

/** One observed breach. */
export interface InvariantBreach {
  readonly name: InvariantName
  readonly atMs: number
  readonly fields: LogFields
}

/** What the checker writes to. */
export interface InvariantOptions {
  readonly clock: Clock
  readonly log: Log
  readonly registry: Registry
  /** Called at each breach; tests make it throw. */
  readonly onBreach?: (breach: InvariantBreach) => void
}

const MAX_RECENT_BREACHES = 50

/** Asserts properties of the running daemon: a breach is a counter, a line and an entry in the dump. */
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
   * @param options - Where breaches are reported.
   * @returns The checker.
   */
  static create (options: InvariantOptions): Invariants {
    return new Invariants(options)
  }

  /**
   * Asserts a property.
   *
   * @param name - Property.
   * @param holds - Whether it holds now.
   * @param fields - Evidence, written when it does not hold.
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

  /** Latest breaches, oldest first. */
  breaches (): readonly InvariantBreach[] {
    return this.recentBreaches
  }
}
