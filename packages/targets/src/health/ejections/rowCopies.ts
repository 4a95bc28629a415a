import type { Clock } from '@lovagehoist/common'
import { COPY_LIFETIME_MS } from './durations.js'
import { EMPTY_ROW, allowanceKey, entryKey } from './ejectionRow.js'
import type { EjectionRow } from './ejectionRow.js'

/** The latest state of a row that this daemon knows. */
export interface RowCopy {
  readonly row: EjectionRow
  /** Version of the row; 0 when it does not exist. */
  readonly version: number
  /** Monotonic time at which the copy may not be acted on any more. */
  readonly validUntilMs: number
}

interface Held extends RowCopy {
  readonly firstSeenMs: ReadonlyMap<string, number>
}

const MISSING: Held = { row: EMPTY_ROW, version: 0, validUntilMs: -Infinity, firstSeenMs: new Map() }

/** Copies of the rows of services, with the time since when each item of a row is known. */
export class RowCopies {
  private readonly held = new Map<string, Held>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an empty set of copies.
   *
   * @param clock - Source of time.
   * @returns The copies.
   */
  static create (clock: Clock): RowCopies {
    return new RowCopies(clock)
  }

  /** Copy of a service's row; an empty one that is not valid when none is known. */
  get (service: string): RowCopy {
    return this.held.get(service) ?? MISSING
  }

  /** Services whose row is known. */
  services (): readonly string[] {
    return [...this.held.keys()]
  }

  /**
   * Takes in a row that was read or written; an older version changes nothing.
   *
   * @param service - Service.
   * @param row - Row.
   * @param version - Version of the row.
   * @param startedAtMs - Monotonic time at which the call began: the row was current then or later.
   */
  take (service: string, row: EjectionRow, version: number, startedAtMs: number): void {
    const before = this.held.get(service) ?? MISSING
    if (version < before.version) return
    const nowMs = this.clock.monotonicMs()
    const keys = [...row.entries.map(entryKey), ...row.allowances.map(allowanceKey)]
    const firstSeenMs = new Map(keys.map(key => [key, before.firstSeenMs.get(key) ?? nowMs]))
    const validUntilMs = Math.max(before.validUntilMs, startedAtMs + COPY_LIFETIME_MS)
    this.held.set(service, { row, version, validUntilMs, firstSeenMs })
  }

  /** Whether an item of a service's row has been known for at least a time. */
  isSeenFor (service: string, key: string, durationMs: number): boolean {
    const seenMs = this.held.get(service)?.firstSeenMs.get(key)
    return seenMs !== undefined && this.clock.monotonicMs() - seenMs >= durationMs
  }
}
