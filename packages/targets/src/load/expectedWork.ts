import { MIN_SLOW_CHANCE } from '../condition/slownessEstimate.js'
import { NO_SAMPLES, addSamples } from './recentMean.js'
import type { RecentMean } from './recentMean.js'

interface ServiceWork {
  readonly latenciesMs: Map<string, number>
  /** Slow targets with the time since which they are. */
  readonly slowSinceMs: Map<string, number>
  /** Median of the latencies; undefined after a change. */
  medianMs: number | undefined
  /** Time at which a target of the service was last found to be no longer slow. */
  recoveredAtMs: number
}

/** Assumed latency of a service before its first response. */
const DEFAULT_LATENCY_MS = 500
/** Samples of the service's mean that count beside those of a request class, of which one daemon sees few. */
const PRIOR_SAMPLES = 4
/** Time for which a target must have been slow for its recovery to say anything about others; two long responses in a row look like a shorter one. */
const MIN_SLOW_MS = 3_000
/** Request classes remembered; those that were not seen for longest are dropped. */
const MAX_CLASSES = 4_096
/** Share of a service's targets from which slowness says nothing about a target: the work itself has become longer. */
const MAX_SLOW_SHARE = 0.6

const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length >> 1
  const upper = sorted[middle] ?? DEFAULT_LATENCY_MS
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? upper) + upper) / 2
}

/**
 * Expected work by service and request class. A service's latency is the median over its targets of what the fleet measured there, so that
 * neither a few slow targets nor single long responses change it; a request class is a ratio to it.
 */
export class ExpectedWork {
  private readonly services = new Map<string, ServiceWork>()
  /** Means of the logarithm of the ratio to the service's latency, by service and request class. */
  private readonly classRatios = new Map<string, RecentMean>()

  private constructor () {}

  /** Creates an estimator without any responses. */
  static create (): ExpectedWork {
    return new ExpectedWork()
  }

  /**
   * Records what the fleet measured at a target.
   *
   * @param service - Service of the target.
   * @param targetId - Target.
   * @param latencyMs - Recent latency of its responses; 0 when unknown.
   * @param slowChance - Probability that the target is slow.
   * @param atMs - Monotonic time.
   */
  recordTarget (service: string, targetId: string, latencyMs: number, slowChance: number, atMs: number): void {
    const work = this.services.get(service) ?? { latenciesMs: new Map<string, number>(), slowSinceMs: new Map<string, number>(), medianMs: undefined, recoveredAtMs: -Infinity }
    this.services.set(service, work)
    const sinceMs = work.slowSinceMs.get(targetId) ?? atMs
    if (slowChance >= MIN_SLOW_CHANCE) work.slowSinceMs.set(targetId, sinceMs)
    else if (work.slowSinceMs.delete(targetId) && atMs - sinceMs >= MIN_SLOW_MS) work.recoveredAtMs = atMs
    if (latencyMs <= 0 || work.latenciesMs.get(targetId) === latencyMs) return
    work.latenciesMs.set(targetId, latencyMs)
    work.medianMs = undefined
  }

  /**
   * Records a response of a target that is not known to be slow.
   *
   * @param service - Service of the target.
   * @param requestClass - Class of the request; undefined if it has none.
   * @param latencyMs - Latency of the response.
   */
  recordResponse (service: string, requestClass: string | undefined, latencyMs: number): void {
    if (requestClass === undefined || !this.isKnown(service)) return
    const key = `${service} ${requestClass}`
    const before = this.classRatios.get(key) ?? { ...NO_SAMPLES, samples: PRIOR_SAMPLES }
    this.classRatios.delete(key)
    this.classRatios.set(key, addSamples(before, Math.log(Math.max(1, latencyMs) / this.serviceLatencyMs(service)), 1))
    if (this.classRatios.size <= MAX_CLASSES) return
    const [oldest] = this.classRatios.keys()
    if (oldest !== undefined) this.classRatios.delete(oldest)
  }

  /** Whether the fleet has measured the service's latency. */
  isKnown (service: string): boolean {
    return (this.services.get(service)?.latenciesMs.size ?? 0) > 0
  }

  /** Latency of a service's responses. */
  serviceLatencyMs (service: string): number {
    const work = this.services.get(service)
    if (work === undefined || work.latenciesMs.size === 0) return DEFAULT_LATENCY_MS
    work.medianMs ??= medianOf([...work.latenciesMs.values()])
    return work.medianMs
  }

  /** Latency expected of a request of a class. */
  expectedMs (service: string, requestClass: string | undefined): number {
    const ratio = requestClass === undefined ? undefined : this.classRatios.get(`${service} ${requestClass}`)
    return this.serviceLatencyMs(service) * Math.exp(ratio?.mean ?? 0)
  }

  /** Whether so many targets of a service are slow that slowness says nothing about one of them. */
  isSlowAsWhole (service: string): boolean {
    const work = this.services.get(service)
    return work !== undefined && work.slowSinceMs.size > MAX_SLOW_SHARE * work.latenciesMs.size
  }

  /** Time at which a target of a service was last found to be no longer slow. */
  recoveredAtMs (service: string): number {
    return this.services.get(service)?.recoveredAtMs ?? -Infinity
  }

  /** Drops the data of a target that was removed or restarted. */
  forget (targetId: string): void {
    for (const work of this.services.values()) {
      work.slowSinceMs.delete(targetId)
      if (work.latenciesMs.delete(targetId)) work.medianMs = undefined
    }
  }
}
