import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { CircuitState } from './circuitBreaker.js'

/** Names of the platform's services. */
export type ServiceName = 'table' | 'objects' | 'directory'

const STATE_VALUES: Readonly<Record<CircuitState, number>> = { closed: 0, 'half-open': 1, open: 2 }

/** Metrics of calls to the platform. */
export class PlatformMetrics {
  private readonly calls: Counter<'service' | 'kind' | 'result'>
  private readonly circuits: Gauge<'service'>

  private constructor (registers: Registry[]) {
    this.calls = new Counter({ name: 'lovagehoist_platform_calls_total', help: 'Calls to the platform.', labelNames: ['service', 'kind', 'result'], registers })
    this.circuits = new Gauge({ name: 'lovagehoist_platform_circuit', help: 'State of the circuit: 0 closed, 1 half-open, 2 open.', labelNames: ['service'], registers })
  }

  /**
   * Creates the metrics.
   *
   * @param registry - Registry; absent to discard the metrics.
   * @returns The metrics.
   */
  static create (registry?: Registry): PlatformMetrics {
    return new PlatformMetrics(registry === undefined ? [] : [registry])
  }

  /** Counts a finished call, or one that was not made. */
  countCall (service: ServiceName, kind: 'read' | 'write', result: string): void {
    this.calls.inc({ service, kind, result })
  }

  /** Records the state of a service's circuit breaker. */
  setCircuitState (service: ServiceName, state: CircuitState): void {
    this.circuits.set({ service }, STATE_VALUES[state])
  }
}
