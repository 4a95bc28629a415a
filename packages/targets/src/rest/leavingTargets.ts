import { SharedRecords } from '@lovagehoist/common'
import type { Clock, ListedTarget, Log, NewsTopic, RawHeaders } from '@lovagehoist/common'

/** Identifies one start of a target. */
type TargetStart = Pick<ListedTarget, 'id' | 'startedAtMs'>

/** Dependencies of the leaving targets. */
export interface LeavingTargetsOptions {
  readonly clock: Clock
  readonly log: Log
  /** Name of the header field, in lower case, by which targets say that they leave. */
  readonly headerName: string
  /** Called when a target is first known to leave. */
  readonly onLeaving: (targetId: string) => void
}

interface Departure {
  /** Monotonic time at which a target said that it leaves. */
  readonly saidAtMs: number
}

/** Time after which a start of a target has surely ended. */
const RETENTION_MS = 600_000
/** Time for which a target that leaves may serve requests that no other target can; shorter than the platform's drain period. */
const LAST_RESORT_MS = 1_000
const MAX_RECORDS = 1_024
const SAYS_LEAVING = '1'

const keyOf = ({ id, startedAtMs }: TargetStart): string => `${id} ${startedAtMs}`

/** Starts of targets that said in an answer that they leave, whatever the listing says. All daemons share them; only a new start takes requests again. */
export class LeavingTargets {
  private readonly departures: SharedRecords<Departure>

  private constructor (private readonly options: LeavingTargetsOptions) {
    this.departures = SharedRecords.create<Departure>({
      name: 'leaving',
      clock: options.clock,
      maxRecords: MAX_RECORDS,
      merge: (known, news) => known === undefined ? news : undefined,
      importanceOf: ({ saidAtMs }) => saidAtMs,
      isUrgent: () => true,
      isExpired: ({ saidAtMs }, nowMs) => nowMs - saidAtMs > RETENTION_MS,
      encode: ({ saidAtMs }, nowMs) => [Math.round(nowMs - saidAtMs)],
      decode: ([ageMs], nowMs) => typeof ageMs === 'number' && ageMs >= 0 ? { saidAtMs: nowMs - ageMs } : undefined
    })
    this.departures.onAdded(key => { this.handleAdded(key) })
  }

  /**
   * Creates an empty set.
   *
   * @param options - Clock, log and header field.
   * @returns The set.
   */
  static create (options: LeavingTargetsOptions): LeavingTargets {
    return new LeavingTargets(options)
  }

  /** The departures as daemons exchange them. */
  get news (): NewsTopic {
    return this.departures
  }

  /**
   * Records the head of an answer that is passed on to a caller or leads to another attempt.
   *
   * @param target - Target that answered.
   * @param headers - Header fields as alternating names and values.
   */
  recordAnswer (target: TargetStart, headers: RawHeaders): void {
    const saysLeaving = headers.some((value, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === this.options.headerName && value.trim() === SAYS_LEAVING)
    if (saysLeaving) this.departures.record(keyOf(target), { saidAtMs: this.options.clock.monotonicMs() })
  }

  /** Whether a target start said, to any daemon, that it leaves. */
  has (target: TargetStart): boolean {
    return this.departures.size > 0 && this.departures.get(keyOf(target)) !== undefined
  }

  /** Whether a leaving target may still serve requests that no other target can. */
  isLastResort (target: TargetStart): boolean {
    const departure = this.departures.get(keyOf(target))
    return departure !== undefined && this.options.clock.monotonicMs() - departure.saidAtMs < LAST_RESORT_MS
  }

  private handleAdded (key: string): void {
    const targetId = key.slice(0, key.lastIndexOf(' '))
    this.options.log.info('target says that it leaves', { targetId })
    this.options.onLeaving(targetId)
  }
}
