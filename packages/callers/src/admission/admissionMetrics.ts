import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import type { RefusalReason } from './admissionTypes.js'

const WAIT_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.1, 0.5, 2, 10]
const MS_PER_SECOND = 1_000

/** Metrics of admission control, labelled by service but not by account. */
export class AdmissionMetrics {
  private constructor (
    private readonly queued: Gauge<'service'>,
    private readonly waits: Histogram<'service'>,
    private readonly refusals: Counter<'service' | 'reason'>
  ) {}

  /**
   * Registers the metrics.
   *
   * @param registry - Registry of the daemon.
   * @returns The metrics.
   */
  static create (registry: Registry): AdmissionMetrics {
    const registers = [registry]
    return new AdmissionMetrics(
      new Gauge({ name: 'lovagehoist_admission_queued', help: 'Requests that wait for admission.', labelNames: ['service'], registers }),
      new Histogram({ name: 'lovagehoist_admission_wait_seconds', help: 'Time that admitted requests waited.', labelNames: ['service'], buckets: WAIT_BUCKETS_SECONDS, registers }),
      new Counter({ name: 'lovagehoist_admission_refusals_total', help: 'Requests refused by admission.', labelNames: ['service', 'reason'], registers })
    )
  }

  setQueued (service: string, count: number): void {
    this.queued.set({ service }, count)
  }

  observeWait (service: string, waitMs: number): void {
    this.waits.observe({ service }, waitMs / MS_PER_SECOND)
  }

  countRefusal (service: string, reason: RefusalReason): void {
    this.refusals.inc({ service, reason })
  }
}
