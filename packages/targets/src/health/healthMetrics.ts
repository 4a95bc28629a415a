import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'

const LABELS = ['service'] as const

/** Metrics of the target health; labelled by service only. */
export interface HealthMetrics {
  readonly ejections: Counter<'service'>
  readonly readmittedTargets: Gauge<'service'>
  readonly floorRefusals: Counter<'service'>
  readonly allowanceSlots: Gauge<'service'>
  readonly outlierDetections: Counter<'service'>
  readonly quarantines: Counter
  readonly silentConnections: Counter<'service'>
}

/**
 * Creates the metrics and registers them.
 *
 * @param registry - Metrics registry of this daemon.
 * @returns The metrics.
 */
export const createHealthMetrics = (registry: Registry): HealthMetrics => {
  const registers = [registry]
  const counter = (name: string, help: string): Counter<'service'> => new Counter({ name: `lovagehoist_health_${name}`, help, labelNames: LABELS, registers })
  const gauge = (name: string, help: string): Gauge<'service'> => new Gauge({ name: `lovagehoist_health_${name}`, help, labelNames: LABELS, registers })
  return {
    ejections: counter('ejections_total', 'Ejections that this daemon committed.'),
    readmittedTargets: gauge('given_back', 'Ejected targets that this daemon uses for the sake of the floor.'),
    floorRefusals: counter('floor_bound_total', 'Ejections that the floor refused.'),
    allowanceSlots: gauge('allowance_slots', 'Slots that this daemon may eject while the table is out.'),
    outlierDetections: counter('judged_total', 'Judgements that found a sick target.'),
    silentConnections: counter('silent_connections_total', 'Times that connections to a target turned out to be silent.'),
    quarantines: new Counter({ name: 'lovagehoist_health_quarantines_total', help: 'Fingerprints of requests that were stopped.', registers })
  }
}
