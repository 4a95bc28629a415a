import type { Clock, ConfigSource, Log, Target, TargetSender } from '@lovagehoist/common'
import { EventCalendar } from './eventCalendar.js'
import type { EventPhase } from './eventCalendar.js'

/** Dependencies of the warmer. */
export interface EventWarmerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly config: ConfigSource
  readonly sender: TargetSender
  /** Returns the targets of a service that this daemon uses, and the number of connections to each. */
  readonly plan: (service: string) => { readonly targets: readonly Target[], readonly connectionsPerTarget: number }
}

const CHECK_INTERVAL_MS = 5_000

/** Opens connections shortly before scheduled events of high traffic, so that the first requests don't have to wait for them. */
export class EventWarmer {
  private calendar = EventCalendar.create([])
  private readonly lastPhases = new Map<string, EventPhase>()

  private constructor (private readonly options: EventWarmerOptions) {
    const { config } = options
    config.onChange(({ document }) => { this.calendar = EventCalendar.create(document.events) })
  }

  /**
   * Creates a warmer that follows the scheduled events of the configuration document.
   *
   * @param options - Clock, configuration, sender and the targets in use.
   * @returns The warmer.
   */
  static create (options: EventWarmerOptions): EventWarmer {
    return new EventWarmer(options)
  }

  /** Returns the current phase of a service relative to its events. */
  phase (service: string): EventPhase {
    return this.calendar.phase(service, this.options.clock.wallMs())
  }

  /**
   * Checks the events periodically until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const service of this.calendar.services()) await this.updateService(service)
      await this.options.clock.sleepMs(CHECK_INTERVAL_MS, signal)
    }
  }

  private async updateService (service: string): Promise<void> {
    const phase = this.phase(service)
    if (phase !== (this.lastPhases.get(service) ?? 'quiet')) this.options.log.info('event phase', { service, phase })
    this.lastPhases.set(service, phase)
    if (phase !== 'lead') return
    const { targets, connectionsPerTarget } = this.options.plan(service)
    await Promise.all(targets.map(async target => { await this.options.sender.warm(target, connectionsPerTarget) }))
  }
}
