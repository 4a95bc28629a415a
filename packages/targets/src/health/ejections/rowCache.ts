import type { Clock } from '@lovagehoist/common'
import { CACHED_ROW_LIFETIME_MS } from './durations.js'
import { EMPTY_ROW, allowanceKey, entryKey } from './ejectionRow.js'
import type { EjectionRow } from './ejectionRow.js'

/** The latest version of a row that this daemon has read or written. */
export interface CachedRow {
  readonly row: EjectionRow
  /** Version in the table; 0 when the row does not exist. */
  readonly version: number
  /** Monotonic time at which the lease on the cached row ends; it must not be acted on afterwards. */
  readonly validUntilMs: number
}

interface CacheEntry extends CachedRow {
  /** Monotonic time of the first sight of each revision in the row, by `entryKey` or `allowanceKey`. */
  readonly firstSeenMs: ReadonlyMap<string, number>
}

const MISSING_ROW: CacheEntry = { row: EMPTY_ROW, version: 0, validUntilMs: -Infinity, firstSeenMs: new Map() }

/** Cached rows by service, with the time since which each entry and allowance has been known. */
export class RowCache {
  private readonly cached = new Map<string, CacheEntry>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an empty cache.
   *
   * @param clock - Source of time.
   * @returns The cache.
   */
  static create (clock: Clock): RowCache {
    return new RowCache(clock)
  }

  /** Cached row of a service; an empty, already expired row if none is cached. */
  get (service: string): CachedRow {
    return this.cached.get(service) ?? MISSING_ROW
  }

  /** Services whose row is cached. */
  services (): readonly string[] {
    return [...this.cached.keys()]
  }

  /**
   * Caches a row that was read or written, unless a newer version is cached already.
   *
   * @param service - Service that the row belongs to.
   * @param row - Value of the row.
   * @param version - Version of the row.
   * @param startedAtMs - Monotonic time at which the read or write was started; the row was current then or later.
   */
  update (service: string, row: EjectionRow, version: number, startedAtMs: number): void {
    const previous = this.cached.get(service) ?? MISSING_ROW
    if (version < previous.version) return
    const nowMs = this.clock.monotonicMs()
    const keys = [...row.entries.map(entryKey), ...row.allowances.map(allowanceKey)]
    const firstSeenMs = new Map(keys.map(key => [key, previous.firstSeenMs.get(key) ?? nowMs]))
    const validUntilMs = Math.max(previous.validUntilMs, startedAtMs + CACHED_ROW_LIFETIME_MS)
    this.cached.set(service, { row, version, validUntilMs, firstSeenMs })
  }

  /** Whether a revision of an entry or allowance has been in the cached row for at least `durationMs`. */
  isKnownForAtLeast (service: string, key: string, durationMs: number): boolean {
    const firstSeenMs = this.cached.get(service)?.firstSeenMs.get(key)
    return firstSeenMs !== undefined && this.clock.monotonicMs() - firstSeenMs >= durationMs
  }
}
