import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '@lovagehoist/common'
import type { GatewayConfigFollower } from '@lovagehoist/operators'
import type { RelayNode } from '@lovagehoist/peers'
import type { LeavingTargets, TargetLimits, TargetRests, TargetStatsTracker, TargetRegistry } from '@lovagehoist/targets'

/** Components whose state the gauges show. */
export interface GatewayMetricsOptions {
  readonly registry: Registry
  readonly clock: Clock
  readonly config: GatewayConfigFollower
  readonly targetRegistry: TargetRegistry
  readonly statsTracker: TargetStatsTracker
  readonly targetLimits: TargetLimits
  readonly rests: TargetRests
  readonly leaving: LeavingTargets
  readonly relay: RelayNode
}

/** Failure probability from which the `targets` gauge counts a target as failing. */
const MIN_FAILING_CHANCE = 0.4
/** Time without a request after which the `targets_unused` gauge counts a target. */
const UNUSED_IDLE_MS = 2_000
const MS_PER_SECOND = 1_000

/** Creates gauges that are worked out when they are collected. */
type CreateGauge = <Label extends string>(name: string, help: string, labelNames: readonly Label[], collect: (gauge: Gauge<Label>) => void) => void

const createGaugesIn = (registry: Registry): CreateGauge => (name, help, labelNames, collect) => {
  const created = new Gauge({ name: `lovagehoist_${name}`, help, labelNames: [...labelNames], registers: [registry], collect: () => { collect(created) } })
}

const registerConfigMetrics = (gauge: CreateGauge, { clock, config }: GatewayMetricsOptions): void => {
  gauge('config_version', 'Version of the configuration in force; 0 for none.', [], metric => { metric.set(config.version) })
  gauge('config_age_seconds', 'Time since the store was known to hold no newer configuration than the one in force, by what found it.', ['source'], metric => {
    metric.set({ source: 'store' }, (clock.monotonicMs() - config.ownConfirmedAtMs) / MS_PER_SECOND)
    metric.set({ source: 'peer' }, (clock.monotonicMs() - config.confirmedByOthersAtMs) / MS_PER_SECOND)
  })
  gauge('configs_refused', 'Configurations that could not be read.', [], metric => { metric.set(config.refusedCount) })
}

/**
 * Registers gauges of this daemon's view of the fleet. The number of label values is bounded by the services in the target list.
 *
 * @param options - Registry and the components to read.
 */
export const registerGatewayMetrics = (options: GatewayMetricsOptions): void => {
  const { registry, clock, targetRegistry, statsTracker, targetLimits, rests, leaving, relay } = options
  const gauge = createGaugesIn(registry)
  registerConfigMetrics(gauge, options)
  gauge('target_list_age_seconds', 'Time since the store was known to hold the list of targets in force.', [], metric => { metric.set((clock.monotonicMs() - targetRegistry.confirmedAtMs) / MS_PER_SECOND) })
  gauge('targets', 'Targets by service and state.', ['service', 'state'], metric => {
    metric.reset()
    for (const { target } of targetRegistry.all()) {
      const { failingChance } = statsTracker.estimate(target.id)
      metric.inc({ service: target.service, state: target.isLeaving || leaving.has(target) ? 'leaving' : failingChance >= MIN_FAILING_CHANCE ? 'failing' : 'sound' })
    }
  })
  gauge('targets_unused', 'Targets that may take requests and got none from any daemon for two seconds.', ['service'], metric => {
    metric.reset()
    for (const entry of targetRegistry.all()) {
      if (!entry.target.isLeaving) metric.inc({ service: entry.target.service }, statsTracker.idleMs(entry) > UNUSED_IDLE_MS ? 1 : 0)
    }
  })
  gauge('targets_limited', 'Targets that name a limit of requests per second in their answers.', ['service'], metric => {
    metric.reset()
    for (const { target } of targetRegistry.all()) metric.inc({ service: target.service }, targetLimits.limitOf(target.id) === undefined ? 0 : 1)
  })
  gauge('targets_resting', 'Targets that asked this daemon for rest, which has not ended.', ['service'], metric => {
    metric.reset()
    for (const { target } of targetRegistry.all()) metric.inc({ service: target.service }, rests.isResting(target) ? 1 : 0)
  })
  gauge('requests_in_progress', 'Requests of the whole fleet in progress, as known here.', ['service'], metric => {
    metric.reset()
    for (const { target } of targetRegistry.all()) metric.inc({ service: target.service }, statsTracker.estimate(target.id).inProgress)
  })
  gauge('service_latency_seconds', 'Recent mean latency of answers.', ['service'], metric => {
    metric.reset()
    for (const service of new Set(targetRegistry.all().map(({ target }) => target.service))) metric.set({ service }, statsTracker.serviceLatencyMs(service) / MS_PER_SECOND)
  })
  gauge('peers', 'Daemons known to this one, itself included.', [], metric => { metric.set(relay.peers.size) })
  gauge('relay_rank', 'Place among the relays of the zone: 0 for the first, -1 for none.', [], metric => { metric.set(relay.relayRank) })
  gauge('unreadable_datagrams', 'Datagrams that could not be read.', [], metric => { metric.set(relay.unreadableCount) })
}
