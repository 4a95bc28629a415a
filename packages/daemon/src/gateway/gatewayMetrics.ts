import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '@lovagehoist/common'
import type { GatewayConfigFollower } from '@lovagehoist/operators'
import type { RelayNode } from '@lovagehoist/peers'
import type { TargetStatsTracker, TargetRegistry } from '@lovagehoist/targets'

/** What the gauges show. */
export interface GatewayMetricsOptions {
  readonly registry: Registry
  readonly clock: Clock
  readonly config: GatewayConfigFollower
  readonly roster: TargetRegistry
  readonly board: TargetStatsTracker
  readonly relay: RelayNode
}

/** Chance from which a target counts as failing in the gauge. */
const FAILING_CHANCE = 0.4
const MS_PER_SECOND = 1_000

/**
 * Registers gauges of what this daemon believes; labels are bounded by the services of the list of targets.
 *
 * @param options - The parts that know.
 */
export const registerGatewayMetrics = ({ registry, clock, config, roster, board, relay }: GatewayMetricsOptions): void => {
  const gauge = <Label extends string>(name: string, help: string, labelNames: readonly Label[], collect: (gauge: Gauge<Label>) => void): void => {
    const created: Gauge<Label> = new Gauge({ name: `lovagehoist_${name}`, help, labelNames: [...labelNames], registers: [registry], collect: () => { collect(created) } })
  }
  gauge('config_version', 'Version of the configuration in force; 0 for none.', [], it => { it.set(config.version) })
  gauge('configs_refused', 'Configurations that could not be read.', [], it => { it.set(config.refusedCount) })
  gauge('target_list_age_seconds', 'Time since the store was known to hold the list of targets in force.', [], it => { it.set((clock.monotonicMs() - roster.confirmedAtMs) / MS_PER_SECOND) })
  gauge('targets', 'Targets by service and state.', ['service', 'state'], it => {
    it.reset()
    for (const { target } of roster.all()) {
      const { failingChance } = board.estimate(target.id)
      it.inc({ service: target.service, state: target.isLeaving ? 'leaving' : failingChance >= FAILING_CHANCE ? 'failing' : 'sound' })
    }
  })
  gauge('requests_in_progress', 'Requests of the whole fleet in progress, as known here.', ['service'], it => {
    it.reset()
    for (const { target } of roster.all()) it.inc({ service: target.service }, board.estimate(target.id).inProgress)
  })
  gauge('service_latency_seconds', 'Recent mean latency of answers.', ['service'], it => {
    it.reset()
    for (const service of new Set(roster.all().map(({ target }) => target.service))) it.set({ service }, board.serviceLatencyMs(service) / MS_PER_SECOND)
  })
  gauge('peers', 'Daemons known to this one, itself included.', [], it => { it.set(relay.peers.size) })
  gauge('relay_rank', 'Place among the relays of the zone: 0 for the first, -1 for none.', [], it => { it.set(relay.relayRank) })
  gauge('unreadable_datagrams', 'Datagrams that could not be read.', [], it => { it.set(relay.unreadableCount) })
}
