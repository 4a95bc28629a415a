import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Log, LogFields } from '@lovagehoist/common'

/** Names a request in a log line, for example by its id. */
export type DescribeRequest = (request: IncomingMessage) => LogFields

/** An exchange that a shutdown cuts off. */
export interface CutExchange {
  readonly response: ServerResponse
  /** Time since the head of the request arrived. */
  readonly ageMs: number
}

/** Lines above this number would say little more, and could keep the line that tells the end of the process out of the log. */
const MAX_LINES = 50

/**
 * Logs the exchanges that a shutdown cuts off, the first 50 by themselves.
 *
 * @param log - Receives the lines.
 * @param exchanges - Exchanges in progress.
 * @param describe - Names their requests.
 */
export const logCutExchanges = (log: Log, exchanges: readonly CutExchange[], describe: DescribeRequest): void => {
  for (const { response, ageMs } of exchanges.slice(0, MAX_LINES)) {
    log.warn('exchange cut off', { ...describe(response.req), method: response.req.method, ageMs: Math.round(ageMs), isHeadSent: response.headersSent })
  }
  if (exchanges.length > MAX_LINES) log.warn('more exchanges cut off', { count: exchanges.length - MAX_LINES })
}
