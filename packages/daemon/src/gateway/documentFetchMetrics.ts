import { Counter, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import type { PeerDocument } from '@lovagehoist/peers'

/** Outcome of a fetch of a document from another daemon. */
export interface DocumentFetch {
  readonly document: PeerDocument
  readonly result: 'fetched' | 'failed'
  readonly durationMs: number
  /** Length of the document in characters; 0 if it did not arrive. */
  readonly length: number
}

/** Metrics of the documents that this daemon fetches from others. */
export interface DocumentFetchMetrics {
  readonly observeFetch: (fetch: DocumentFetch) => void
}

const MS_PER_SECOND = 1_000
/** Covers a fetch within a zone as well as a large document over a slow link. */
const DURATION_BUCKETS_SECONDS = [0.01, 0.03, 0.1, 0.3, 1, 3, 10]

/**
 * Registers the metrics of fetched documents.
 *
 * @param registry - Registry of this daemon.
 * @returns The metrics.
 */
export const createDocumentFetchMetrics = (registry: Registry): DocumentFetchMetrics => {
  const durations = new Histogram({
    name: 'lovagehoist_document_fetch_seconds',
    help: 'Time of fetches of a document from another daemon.',
    labelNames: ['document', 'result'],
    buckets: DURATION_BUCKETS_SECONDS,
    registers: [registry]
  })
  const lengths = new Counter({
    name: 'lovagehoist_document_fetched_characters_total',
    help: 'Length of the documents fetched from other daemons.',
    labelNames: ['document'],
    registers: [registry]
  })
  return {
    observeFetch: ({ document, result, durationMs, length }) => {
      durations.observe({ document, result }, durationMs / MS_PER_SECOND)
      lengths.inc({ document }, length)
    }
  }
}
