import { MeanRunTime } from '../admission/meanRunTime.js'

/** Usual time of a request at a target, by service. */
export class UsualTimes {
  private readonly means = new Map<string, MeanRunTime>()

  private constructor () {}

  /** Creates a record without requests. */
  static create (): UsualTimes {
    return new UsualTimes()
  }

  /** Adds the time that a target took to answer a request, in milliseconds. */
  record (service: string, latencyMs: number): void {
    const mean = this.means.get(service) ?? MeanRunTime.create()
    this.means.set(service, mean)
    mean.observe(latencyMs)
  }

  /** Mean of the latest requests, in milliseconds; undefined if there were none. */
  usualMs (service: string): number | undefined {
    return this.means.get(service)?.meanMs
  }
}
