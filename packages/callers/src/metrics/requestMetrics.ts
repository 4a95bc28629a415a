import { Counter, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import type { OutcomeKind, RunVerdict } from '@lovagehoist/common'
import type { Delivery } from '../answers/deliver.js'
import type { ProblemKind } from '../answers/problem.js'

const MS_PER_SECOND = 1_000
/** Covers quick answers and the longest time limits of callers. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16]

/** Result of an attempt to claim a key. */
export type ClaimResult = 'claimed' | 'replayed' | 'in-progress' | 'unknown' | 'conflict' | 'store-out'

/** Counters of the request path. */
export interface RequestMetrics {
  readonly request: (service: string, verdict: RunVerdict | 'none', outcome: Delivery | ProblemKind) => void
  readonly attempt: (service: string, outcome: OutcomeKind) => void
  readonly retry: (service: string) => void
  readonly budgetRefusal: (service: string) => void
  readonly heldAnswer: (service: string, result: 'whole' | 'broken' | 'too-large') => void
  readonly claim: (result: ClaimResult) => void
  readonly latency: (service: string, latencyMs: number) => void
}

/**
 * Registers the counters of the request path; labels are bounded by the document's services.
 *
 * @param registry - Registry of this daemon.
 * @returns The counters.
 */
export const createRequestMetrics = (registry: Registry): RequestMetrics => {
  const counter = <Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> =>
    new Counter({ name: `lovagehoist_${name}`, help, labelNames: [...labelNames], registers: [registry] })
  const requests = counter('requests_total', 'Requests by the verdict and outcome that the caller got.', ['service', 'verdict', 'outcome'])
  const attempts = counter('attempts_total', 'Tries at targets by outcome.', ['service', 'outcome'])
  const retries = counter('retries_total', 'Tries after the first one of a request.', ['service'])
  const refusals = counter('retry_budget_refusals_total', 'Retries that the budget did not allow.', ['service'])
  const held = counter('held_answers_total', 'Idempotent answers held until they were whole.', ['service', 'result'])
  const claims = counter('key_claims_total', 'Claims of keys by result.', ['result'])
  const latencies = new Histogram({
    name: 'lovagehoist_request_seconds',
    help: 'Time from a request\'s head to the end of its answer, for answers of targets.',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry]
  })
  return {
    request: (service, verdict, outcome) => { requests.inc({ service, verdict, outcome }) },
    attempt: (service, outcome) => { attempts.inc({ service, outcome }) },
    retry: service => { retries.inc({ service }) },
    budgetRefusal: service => { refusals.inc({ service }) },
    heldAnswer: (service, result) => { held.inc({ service, result }) },
    claim: result => { claims.inc({ result }) },
    latency: (service, latencyMs) => { latencies.observe({ service }, latencyMs / MS_PER_SECOND) }
  }
}
