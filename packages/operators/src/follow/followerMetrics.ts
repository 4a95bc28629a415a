import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'

/** State that the gauges read at each scrape. */
export interface FollowerState {
  readonly heldVersion: () => number
  readonly knownVersion: () => number
  readonly isCurrent: () => boolean
  readonly storeContactAgeMs: () => number
}

/** Metrics that the follower updates on events. */
export interface FollowerMetrics {
  readonly adoptSeconds: Histogram
  readonly fetchFailures: Counter<'source'>
}

const ADOPT_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]
const MS_PER_SECOND = 1_000

/**
 * Registers the metrics of the configuration follower.
 *
 * @param registry - Registry of the daemon.
 * @param state - Callbacks that the gauges read.
 * @returns The metrics that are updated on events.
 */
export const createFollowerMetrics = (registry: Registry, state: FollowerState): FollowerMetrics => {
  const registers = [registry]
  const gauge = (name: string, help: string, read: () => number): void => {
    // eslint-disable-next-line no-new -- the registry keeps it
    new Gauge({ name, help, registers, collect () { this.set(read()) } })
  }
  gauge('lovagehoist_config_version', 'Version of the configuration in force; 0 for none.', state.heldVersion)
  gauge('lovagehoist_config_known_version', 'Newest accepted version that this daemon has heard of.', state.knownVersion)
  gauge('lovagehoist_config_is_current', 'Whether the configuration held is recently proved to be the newest, 1 or 0.', () => Number(state.isCurrent()))
  gauge('lovagehoist_config_store_contact_age_seconds', 'Time since the last read of the table that succeeded.', () => state.storeContactAgeMs() / MS_PER_SECOND)
  return {
    adoptSeconds: new Histogram({
      name: 'lovagehoist_config_adopt_seconds',
      help: 'Time from hearing of a version to its being in force.',
      buckets: ADOPT_BUCKETS_SECONDS,
      registers
    }),
    fetchFailures: new Counter({
      name: 'lovagehoist_config_fetch_failures_total',
      help: 'Documents that could not be fetched or read.',
      labelNames: ['source'],
      registers
    })
  }
}
