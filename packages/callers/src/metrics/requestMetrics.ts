import { Counter, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import type { OutcomeKind, RunVerdict } from '@lovagehoist/common'
import type { Delivery } from '../responses/deliver.js'
import type { ProblemKind } from '../responses/problem.js'

const MS_PER_SECOND = 1_000
/** Covers fast responses as well as the longest timeouts of callers. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16]

/** Result of an attempt to claim a key. */
export type ClaimResult = 'claimed' | 'replayed' | 'in-progress' | 'unknown' | 'conflict' | 'store-out'

/** Metrics of the request path. */
export interface RequestMetrics {
  readonly countRequest: (service: string, verdict: RunVerdict | 'none', outcome: Delivery | ProblemKind) => void
  readonly countAttempt: (service: string, outcome: OutcomeKind) => void
  readonly countRetry: (service: string) => void
  readonly countBudgetRefusal: (service: string) => void
  readonly countBufferedResponse: (service: string, result: 'whole' | 'broken' | 'too-large') => void
  readonly countClaim: (result: ClaimResult) => void
  readonly countStalledCaller: (service: string) => void
  readonly observeLatency: (service: string, latencyMs: number) => void
}

/**
 * Registers the metrics of the request path; the cardinality of labels is bounded by the services in the configuration.
 *
 * @param registry - Registry of this daemon.
 * @returns The metrics.
 */
export const createRequestMetrics = (registry: Registry): RequestMetrics => {
  const counter = <Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> =>
    new Counter({ name: `lovagehoist_${name}`, help, labelNames: [...labelNames], registers: [registry] })
  const requests = counter('requests_total', 'Requests by the verdict and outcome that the caller got.', ['service', 'verdict', 'outcome'])
  const attempts = counter('attempts_total', 'Tries at targets by outcome.', ['service', 'outcome'])
  const retries = counter('retries_total', 'Tries after the first one of a request.', ['service'])
  const budgetRefusals = counter('retry_budget_refusals_total', 'Retries that the budget did not allow.', ['service'])
  const bufferedResponses = counter('held_answers_total', 'Idempotent answers held until they were whole.', ['service', 'result'])
  const claims = counter('key_claims_total', 'Claims of keys by result.', ['result'])
  const stalledCallers = counter('stalled_callers_total', 'Callers disconnected because they read nothing of a response.', ['service'])
  const latencies = new Histogram({
    name: 'lovagehoist_request_seconds',
    help: 'Time from a request\'s head to the end of its answer, for answers of targets.',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry]
  })
  return {
    countRequest: (service, verdict, outcome) => { requests.inc({ service, verdict, outcome }) },
    countAttempt: (service, outcome) => { attempts.inc({ service, outcome }) },
    countRetry: service => { retries.inc({ service }) },
    countBudgetRefusal: service => { budgetRefusals.inc({ service }) },
    countBufferedResponse: (service, result) => { bufferedResponses.inc({ service, result }) },
    countClaim: result => { claims.inc({ result }) },
    countStalledCaller: service => { stalledCallers.inc({ service }) },
    observeLatency: (service, latencyMs) => { latencies.observe({ service }, latencyMs / MS_PER_SECOND) }
  }
}
