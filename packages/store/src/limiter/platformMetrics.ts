import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { CircuitState } from './circuitBreaker.js'

/** Services of the platform. */
export type ServiceName = 'table' | 'objects' | 'directory'

const STATE_VALUES: Readonly<Record<CircuitState, number>> = { closed: 0, 'half-open': 1, open: 2 }

/** Counters of calls to the platform. */
export class PlatformMetrics {
  private readonly calls: Counter<'service' | 'kind' | 'result'>
  private readonly circuits: Gauge<'service'>

  private constructor (registers: Registry[]) {
    this.calls = new Counter({ name: 'lovagehoist_platform_calls_total', help: 'Calls to the platform.', labelNames: ['service', 'kind', 'result'], registers })
    this.circuits = new Gauge({ name: 'lovagehoist_platform_circuit', help: 'State of the circuit: 0 closed, 1 half-open, 2 open.', labelNames: ['service'], registers })
  }

  /**
   * Creates the counters.
   *
   * @param registry - Registry of this daemon; absent to count for nobody.
   * @returns The counters.
   */
  static create (registry?: Registry): PlatformMetrics {
    return new PlatformMetrics(registry === undefined ? [] : [registry])
  }

  /** Counts a call that ended. */
  countCall (service: ServiceName, kind: 'read' | 'write', result: string): void {
    this.calls.inc({ service, kind, result })
  }

  /** Notes the state of a circuit. */
  setCircuitState (service: ServiceName, state: CircuitState): void {
    this.circuits.set({ service }, STATE_VALUES[state])
  }
}
