import { request } from 'undici'
import type { FaultContext } from './faults.js'

const READINESS_POLL_MS = 500
const READINESS_TIMEOUT_MS = 400
const STATUS_OK = 200

/** Stand-in of the platform's load balancer: offers callers the instances that were ready at the latest poll. */
export class Balancer {
  private readonly readyIds = new Set<string>()

  private constructor (private readonly context: FaultContext) {}

  /**
   * Creates a balancer that has not polled any instance yet.
   *
   * @param context - Running daemons.
   * @returns The balancer.
   */
  static create (context: FaultContext): Balancer {
    return new Balancer(context)
  }

  /**
   * Polls the readiness of every instance until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await Promise.all(this.context.daemons.map(async daemon => { await this.updateReadiness(daemon.id, (await daemon.ports).admin) }))
      await this.context.fleet.clock.sleepMs(READINESS_POLL_MS, signal)
    }
  }

  /** Addresses of the ready instances; of all running ones when none is ready. */
  urls (): readonly string[] {
    const running = this.context.daemons.map(daemon => daemon.id)
    const ready = running.filter(id => this.readyIds.has(id))
    return (ready.length > 0 ? ready : running).flatMap(id => this.context.urls.get(id) ?? [])
  }

  private async updateReadiness (id: string, adminPort: number): Promise<void> {
    const timeouts = { headersTimeout: READINESS_TIMEOUT_MS, bodyTimeout: READINESS_TIMEOUT_MS }
    const response = await request(`http://127.0.0.1:${adminPort}/ready`, timeouts).catch(() => undefined)
    await response?.body.dump()
    if (response?.statusCode === STATUS_OK) this.readyIds.add(id)
    else this.readyIds.delete(id)
  }
}
