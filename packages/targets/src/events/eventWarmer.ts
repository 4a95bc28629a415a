import type { Clock, ConfigSource, Log, Target, TargetSender } from '@lovagehoist/common'
import { EventCalendar } from './eventCalendar.js'
import type { EventPhase } from './eventCalendar.js'

/** What warming needs. */
export interface EventWarmerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly config: ConfigSource
  readonly sender: TargetSender
  /** Targets of a service that this daemon uses, and connections to each. */
  readonly plan: (service: string) => { readonly targets: readonly Target[], readonly connectionsPerTarget: number }
}

const TICK_MS = 5_000

/** Opens connections before busy events, so that their first requests find them open. */
export class EventWarmer {
  private calendar = EventCalendar.create([])
  private readonly phases = new Map<string, EventPhase>()

  private constructor (private readonly options: EventWarmerOptions) {
    const { config } = options
    config.onChange(({ document }) => { this.calendar = EventCalendar.create(document.events) })
  }

  /**
   * Creates a warmer that follows the events of the document.
   *
   * @param options - Time, document, connections and the targets in use.
   * @returns The warmer.
   */
  static create (options: EventWarmerOptions): EventWarmer {
    return new EventWarmer(options)
  }

  /** Where a service stands towards its events now. */
  phase (service: string): EventPhase {
    return this.calendar.phase(service, this.options.clock.wallMs())
  }

  /**
   * Watches the events until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const service of this.calendar.services()) await this.follow(service)
      await this.options.clock.sleepMs(TICK_MS, signal)
    }
  }

  private async follow (service: string): Promise<void> {
    const phase = this.phase(service)
    if (phase !== (this.phases.get(service) ?? 'quiet')) this.options.log.info('event phase', { service, phase })
    this.phases.set(service, phase)
    if (phase !== 'lead') return
    const { targets, connectionsPerTarget } = this.options.plan(service)
    await Promise.all(targets.map(async target => { await this.options.sender.warm(target, connectionsPerTarget) }))
  }
}
