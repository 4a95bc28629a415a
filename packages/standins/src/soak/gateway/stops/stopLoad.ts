import type { Random } from '@lovagehoist/common'
import type { SoakRoute } from '../soakConfig.js'

/** A route with the requests that callers send on it. */
export interface StopRoute extends SoakRoute {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly deadlineMs: number
  /** Share of all requests, relative to the other routes. */
  readonly weight: number
  readonly work: WorkTime
}

/** Distribution of the time that a target works on a request. */
interface WorkTime {
  readonly meanMs: number
  /** Largest deviation from the mean, as a share of it. */
  readonly spread: number
  /** Factor by which one request in 100 takes longer. */
  readonly tailFactor: number
  readonly maxMs: number
}

const TAIL_SHARE = 0.01

export const STOP_ROUTES: readonly StopRoute[] = [
  { name: 'lookup', kind: 'safe', service: 'records', method: 'GET', timeoutMs: 4_000, deadlineMs: 8_000, weight: 1.8, work: { meanMs: 640, spread: 0.8, tailFactor: 3, maxMs: 3_700 } },
  { name: 'confirm', kind: 'unsafe', service: 'payments', method: 'POST', timeoutMs: 6_000, deadlineMs: 12_000, weight: 4.9, work: { meanMs: 480, spread: 0.3, tailFactor: 3, maxMs: 2_900 } },
  { name: 'report', kind: 'download', service: 'permits', method: 'GET', timeoutMs: 4_000, deadlineMs: 8_000, weight: 0.58, work: { meanMs: 400, spread: 0.3, tailFactor: 5, maxMs: 2_900 } },
  { name: 'register', kind: 'unsafe', service: 'permits', method: 'DELETE', timeoutMs: 3_000, deadlineMs: 6_000, weight: 0.61, work: { meanMs: 400, spread: 0.8, tailFactor: 3, maxMs: 2_400 } }
]

/** Number of targets of each service. */
export const STOP_TARGETS: Readonly<Record<string, number>> = { records: 8, payments: 16, permits: 6 }

/** Picks a route by its share of the requests. */
export const pickRoute = (random: Random): StopRoute => {
  let rest = random.next() * STOP_ROUTES.reduce((sum, { weight }) => sum + weight, 0)
  const picked = STOP_ROUTES.find(({ weight }) => (rest -= weight) < 0) ?? STOP_ROUTES[0]
  if (picked === undefined) throw new Error('no routes')
  return picked
}

/** Draws the time that a target works on a request, by its path, in milliseconds. */
export const drawWorkMs = (random: Random, path: string): number => {
  const { meanMs, spread, tailFactor, maxMs } = (STOP_ROUTES.find(({ name }) => path.startsWith(`/${name}/`)) ?? pickRoute(random)).work
  const factor = random.next() < TAIL_SHARE ? tailFactor : 1 - spread + 2 * spread * random.next()
  return Math.min(maxMs, meanMs * factor)
}
