import type { UnevenFleet, UnevenRequest } from './unevenFleet.js'

/** What the callers of a simulated fleet got. */
export interface UnevenFigures {
  readonly onTimeShare: number
  readonly lateShare: number
  readonly failedShare: number
  readonly crossZoneShare: number
  readonly connectionsPerRequest: number
  readonly peakConnections: number
  readonly meanMs: number
  readonly p90Ms: number
}

const shareOf = (requests: readonly UnevenRequest[], matches: (request: UnevenRequest) => boolean): number =>
  requests.filter(matches).length / Math.max(1, requests.length)

/**
 * Summarizes what the callers of a time span got; requests that had not ended by the end of the simulation count as late.
 *
 * @param fleet - Simulation that has run.
 * @param fromMs - Start of the time span.
 * @param toMs - End of the time span.
 * @returns Shares of the requests, and connections.
 */
export const summarizeFleet = (fleet: UnevenFleet, fromMs: number, toMs: number): UnevenFigures => {
  const requests = fleet.requests.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
  const latencies = requests.map(({ latencyMs }) => latencyMs).sort((a, b) => a - b)
  return {
    onTimeShare: shareOf(requests, ({ status }) => status === 'on-time'),
    lateShare: shareOf(requests, ({ status }) => status === 'late' || status === 'open'),
    failedShare: shareOf(requests, ({ status }) => status === 'failed'),
    crossZoneShare: shareOf(requests, ({ zone, targetId }) => targetId !== '' && !targetId.startsWith(`${zone}-`)),
    connectionsPerRequest: fleet.opened.filter(atMs => atMs >= fromMs && atMs < toMs).length / Math.max(1, requests.length),
    peakConnections: fleet.targets.peakConnections,
    meanMs: latencies.reduce((sum, value) => sum + value, 0) / Math.max(1, latencies.length),
    p90Ms: latencies[Math.floor(0.9 * latencies.length)] ?? 0
  }
}
