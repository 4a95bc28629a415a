import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'

/** What was refused: a first attempt, or a retry at another target. */
export type ShortageCause = 'first-attempt' | 'retry'

/** Metrics of admission in a shortage. */
export interface ShortageMetrics {
  /** Sets the share of a rank's requests that is refused. */
  readonly setLevel: (service: string, rank: number, refusedShare: number) => void
  readonly countRefusal: (service: string, rank: number, cause: ShortageCause) => void
  /** Sets the expected wait of a new request for a slot. */
  readonly setWait: (service: string, waitMs: number) => void
}

/** Ranks from this one on share a label, so that a configuration can't add time series without bound. */
const LAST_LABELLED_RANK = 7

const MS_PER_SECOND = 1_000

const labelOf = (rank: number): string => rank >= LAST_LABELLED_RANK ? `${LAST_LABELLED_RANK}+` : String(rank)

/**
 * Registers the metrics.
 *
 * @param registry - Registry of this daemon.
 * @returns The metrics.
 */
export const createShortageMetrics = (registry: Registry): ShortageMetrics => {
  const level = new Gauge({ name: 'lovagehoist_shortage_level', help: 'Share of the requests of a rank that is refused because the service has too little capacity.', labelNames: ['service', 'rank'], registers: [registry] })
  const refusals = new Counter({ name: 'lovagehoist_shortage_refusals_total', help: 'Requests refused because the service has too little capacity.', labelNames: ['service', 'rank', 'cause'], registers: [registry] })
  const wait = new Gauge({ name: 'lovagehoist_shortage_wait_seconds', help: 'Expected wait of a new request for a slot of the service.', labelNames: ['service'], registers: [registry] })
  return {
    setWait: (service, waitMs) => { wait.set({ service }, waitMs / MS_PER_SECOND) },
    setLevel: (service, rank, refusedShare) => { level.set({ service, rank: labelOf(rank) }, refusedShare) },
    countRefusal: (service, rank, cause) => { refusals.inc({ service, rank: labelOf(rank), cause }) }
  }
}
