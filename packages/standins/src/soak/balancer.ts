import { request } from 'undici'
import type { FaultWorld } from './faults.js'

const POLL_MS = 500
const ANSWER_LIMIT_MS = 400
const STATUS_OK = 200

/** Spreads callers over the instances that said lately that they are ready, as the platform's balancer does. */
export class Balancer {
  private readonly ready = new Set<string>()

  private constructor (private readonly world: FaultWorld) {}

  /**
   * Creates a balancer that has asked nobody yet.
   *
   * @param world - Running daemons.
   * @returns The balancer.
   */
  static create (world: FaultWorld): Balancer {
    return new Balancer(world)
  }

  /**
   * Asks every instance again and again whether it is ready.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await Promise.all(this.world.daemons.map(async daemon => { await this.ask(daemon.id, (await daemon.ports).admin) }))
      await this.world.fleet.clock.sleepMs(POLL_MS, signal)
    }
  }

  /** Addresses of the ready instances; of all running ones when none is ready. */
  urls (): readonly string[] {
    const running = this.world.daemons.map(daemon => daemon.id)
    const ready = running.filter(id => this.ready.has(id))
    return (ready.length > 0 ? ready : running).flatMap(id => this.world.urls.get(id) ?? [])
  }

  private async ask (id: string, adminPort: number): Promise<void> {
    const limits = { headersTimeout: ANSWER_LIMIT_MS, bodyTimeout: ANSWER_LIMIT_MS }
    const reply = await request(`http://127.0.0.1:${adminPort}/ready`, limits).catch(() => undefined)
    await reply?.body.dump()
    if (reply?.statusCode === STATUS_OK) this.ready.add(id)
    else this.ready.delete(id)
  }
}
