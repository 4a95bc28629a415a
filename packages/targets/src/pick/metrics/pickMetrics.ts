import type { PickFailure } from '@lovagehoist/common'
import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'

const WAIT_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.1, 0.5, 2, 10]

/** Metrics of target selection, labelled by service only. */
export class PickMetrics {
  private constructor (
    private readonly slotsInUse: Gauge<'service'>,
    private readonly slotLimit: Gauge<'service'>,
    private readonly waits: Histogram<'service'>,
    private readonly refusals: Counter<'service' | 'reason'>,
    private readonly shedResponses: Counter<'service'>
  ) {}

  /**
   * Registers the metrics.
   *
   * @param registry - Registry of the daemon.
   * @returns The metrics.
   */
  static create (registry: Registry): PickMetrics {
    const registers = [registry]
    return new PickMetrics(
      new Gauge({ name: 'lovagehoist_slots_in_use', help: 'Slots that this daemon holds.', labelNames: ['service'], registers }),
      new Gauge({ name: 'lovagehoist_slot_limit', help: 'Slots that this daemon may hold on average.', labelNames: ['service'], registers }),
      new Histogram({ name: 'lovagehoist_slot_wait_seconds', help: 'Time that picks waited for a slot.', labelNames: ['service'], buckets: WAIT_BUCKETS_SECONDS, registers }),
      new Counter({ name: 'lovagehoist_pick_refusals_total', help: 'Picks that found no target.', labelNames: ['service', 'reason'], registers }),
      new Counter({ name: 'lovagehoist_shed_answers_total', help: 'Answers by which targets refused work.', labelNames: ['service'], registers })
    )
  }

  setSlots (service: string, held: number, limit: number): void {
    this.slotsInUse.set({ service }, held)
    this.slotLimit.set({ service }, limit)
  }

  observeWait (service: string, waitMs: number): void {
    this.waits.observe({ service }, waitMs / 1_000)
  }

  countRefusal (service: string, reason: PickFailure): void {
    this.refusals.inc({ service, reason })
  }

  countShed (service: string): void {
    this.shedResponses.inc({ service })
  }
}
