import type { Clock, JsonValue, PeerBus } from '@lovagehoist/common'
import { z } from 'zod'
import { PEER_EJECTION_LIFETIME_MS, PEER_EJECTION_REFRESH_INTERVAL_MS } from './durations.js'

/** Peer method that returns the targets a daemon ejects under its allowances. */
export const PEER_EJECTIONS_METHOD = 'health.uses'

/** A target that the holder of an allowance ejects under it, as sent to other daemons. */
export interface HolderEjection {
  readonly service: string
  readonly targetId: string
  readonly slots: number
  /** Slots of the service that may be ejected in addition to this target, as known to the holder. */
  readonly behindSlots: number
  /** Time until the holder's allowance expires. */
  readonly remainingMs: number
}

/** An ejection fetched from its holder, with a lease on this daemon's clock. */
export interface PeerEjection extends HolderEjection {
  /** Monotonic time at which the lease ends. */
  readonly validUntilMs: number
}

const holderEjectionsSchema = z.array(z.object({
  service: z.string(), targetId: z.string(), slots: z.number(), behindSlots: z.number(), remainingMs: z.number()
}))

const CALL_TIMEOUT_MS = 1_000

interface HolderState {
  readonly ejections: readonly PeerEjection[]
  /** Monotonic time at which the call that fetched the ejections was started. */
  readonly calledAtMs: number
}

/** Ejections under other daemons' allowances. They are fetched by calls rather than pushed, so that a delayed message can't extend a lease. */
export class PeerEjections {
  private readonly byHolder = new Map<string, HolderState>()
  private readonly changedHolders = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly bus: PeerBus) {}

  /**
   * Creates the list, empty at first, and registers the handler that returns this daemon's own ejections to others.
   *
   * @param clock - Source of time.
   * @param bus - Messaging and membership between daemons.
   * @param ownEjections - Targets that this daemon now ejects under its allowances.
   * @returns The list.
   */
  static create (clock: Clock, bus: PeerBus, ownEjections: () => readonly HolderEjection[]): PeerEjections {
    const peerEjections = new PeerEjections(clock, bus)
    bus.handle(PEER_EJECTIONS_METHOD, async () => ownEjections() as unknown as JsonValue)
    return peerEjections
  }

  /** Schedules a call to a holder whose ejections have changed. */
  markChanged (instanceId: string): void {
    if (instanceId !== this.bus.self.instanceId) this.changedHolders.add(instanceId)
  }

  /** Ejections of a service's targets whose lease has not ended. */
  unexpired (service: string): readonly PeerEjection[] {
    const nowMs = this.clock.monotonicMs()
    return [...this.byHolder.values()].flatMap(holder => holder.ejections).filter(ejection => ejection.service === service && nowMs < ejection.validUntilMs)
  }

  /** Calls the holders whose ejections have changed, and those whose leases need renewal. */
  async refresh (): Promise<void> {
    const nowMs = this.clock.monotonicMs()
    const dueForRefresh = [...this.byHolder].filter(([, holder]) => holder.ejections.length > 0 && nowMs - holder.calledAtMs >= PEER_EJECTION_REFRESH_INTERVAL_MS)
    const due = new Set([...this.changedHolders, ...dueForRefresh.map(([instanceId]) => instanceId)])
    this.changedHolders.clear()
    await Promise.all([...due].map(async instanceId => { await this.query(instanceId) }))
  }

  private async query (instanceId: string): Promise<void> {
    const calledAtMs = this.clock.monotonicMs()
    const response = await this.bus.call(instanceId, PEER_EJECTIONS_METHOD, {}, CALL_TIMEOUT_MS)
    const parsed = holderEjectionsSchema.safeParse(response.isOk() ? response.value : undefined)
    if (!parsed.success || calledAtMs < (this.byHolder.get(instanceId)?.calledAtMs ?? -Infinity)) return
    const ejections = parsed.data.map(ejection => ({ ...ejection, validUntilMs: calledAtMs + Math.min(ejection.remainingMs, PEER_EJECTION_LIFETIME_MS) }))
    if (ejections.length === 0) this.byHolder.delete(instanceId)
    else this.byHolder.set(instanceId, { ejections, calledAtMs })
  }
}
