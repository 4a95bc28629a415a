import type { EventConfig } from '@lovagehoist/common'

/** Phase of a service relative to its scheduled events of high traffic. */
export type EventPhase = 'quiet' | 'lead' | 'busy'

/** Local time of day, weekday and day of the month. */
interface LocalTime {
  readonly timeOfDayMs: number
  readonly weekday: number
  readonly monthday: number
}

const MS_PER_SECOND = 1_000
const MS_PER_MINUTE = 60_000
const MS_PER_HOUR = 3_600_000
const MS_PER_DAY = 86_400_000
const WEEKDAYS = ['Sun', 'Mon', 'Tue', 'Wed', 'Thu', 'Fri', 'Sat']

const createFormat = (timeZone: string): Intl.DateTimeFormat =>
  new Intl.DateTimeFormat('en-US', { timeZone, hourCycle: 'h23', weekday: 'short', day: 'numeric', hour: 'numeric', minute: 'numeric', second: 'numeric' })

const localTime = (format: Intl.DateTimeFormat, wallMs: number): LocalTime => {
  const parts = Object.fromEntries(format.formatToParts(wallMs).map(({ type, value }) => [type, value]))
  const timeOfDayMs = Number(parts.hour) * MS_PER_HOUR + Number(parts.minute) * MS_PER_MINUTE + Number(parts.second) * MS_PER_SECOND + wallMs % MS_PER_SECOND
  return { timeOfDayMs, weekday: WEEKDAYS.indexOf(parts.weekday ?? ''), monthday: Number(parts.day) }
}

const startOfDayMs = ({ startsAt }: EventConfig): number => {
  const [hour = 0, minute = 0] = startsAt.split(':').map(Number)
  return hour * MS_PER_HOUR + minute * MS_PER_MINUTE
}

/** Determines the phases of services from the scheduled events of one configuration document. */
export class EventCalendar {
  private readonly formats: ReadonlyMap<string, Intl.DateTimeFormat>

  private constructor (private readonly events: readonly EventConfig[]) {
    this.formats = new Map(events.map(({ timeZone }) => [timeZone, createFormat(timeZone)]))
  }

  /**
   * Creates a calendar.
   *
   * @param events - Scheduled events of the document.
   * @returns The calendar.
   */
  static create (events: readonly EventConfig[]): EventCalendar {
    return new EventCalendar(events)
  }

  /**
   * Returns the phase of a service at a moment.
   *
   * @param service - Service.
   * @param wallMs - Milliseconds since the Unix epoch.
   * @returns `busy` during an event, `lead` in the lead time before one, otherwise `quiet`.
   */
  phase (service: string, wallMs: number): EventPhase {
    const phases = this.events.filter(event => event.services.includes(service)).map(event => this.phaseOf(event, wallMs))
    return phases.includes('busy') ? 'busy' : phases.includes('lead') ? 'lead' : 'quiet'
  }

  /** Returns the services that have events. */
  services (): readonly string[] {
    return [...new Set(this.events.flatMap(event => event.services))]
  }

  private phaseOf (event: EventConfig, wallMs: number): EventPhase {
    const format = this.formats.get(event.timeZone) ?? createFormat(event.timeZone)
    const untilStartMs = startOfDayMs(event) - localTime(format, wallMs).timeOfDayMs
    for (const offsetMs of [-MS_PER_DAY, 0, MS_PER_DAY]) {
      const startMs = wallMs + untilStartMs + offsetMs
      if (!this.isOnDay(event, localTime(format, startMs))) continue
      if (wallMs >= startMs && wallMs < startMs + event.durationMs) return 'busy'
      if (wallMs < startMs && wallMs >= startMs - event.leadMs) return 'lead'
    }
    return 'quiet'
  }

  private isOnDay ({ weekdays, monthday }: EventConfig, day: LocalTime): boolean {
    return (weekdays.length === 0 || weekdays.includes(day.weekday)) && (monthday === undefined || monthday === day.monthday)
  }
}
