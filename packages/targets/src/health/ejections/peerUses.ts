import type { Clock, JsonValue, PeerBus } from '@lovagehoist/common'
import { z } from 'zod'
import { USE_LIFETIME_MS, USE_REFRESH_MS } from './durations.js'

/** Method by which a holder tells what it ejects under its allowances. */
export const USES_METHOD = 'health.uses'

/** A target that a holder ejects under its allowance. */
export interface HolderUse {
  readonly service: string
  readonly targetId: string
  readonly slots: number
  /** Slots of the service that may be out besides this target, as the holder knows. */
  readonly behindSlots: number
  /** Time for which the holder's allowance lasts, in milliseconds. */
  readonly remainingMs: number
}

/** What this daemon knows of a holder's use. */
export interface KnownUse extends HolderUse {
  readonly validUntilMs: number
}

const usesSchema = z.array(z.object({
  service: z.string(), targetId: z.string(), slots: z.number(), behindSlots: z.number(), remainingMs: z.number()
}))

const CALL_TIMEOUT_MS = 1_000

interface HolderUses {
  readonly uses: readonly KnownUse[]
  readonly calledAtMs: number
}

/** Ejections under other daemons' allowances; asked for, so that a delayed message can't prolong one. */
export class PeerUses {
  private readonly byHolder = new Map<string, HolderUses>()
  private readonly hinted = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly bus: PeerBus) {}

  /**
   * Creates the view, which answers other daemons as well.
   *
   * @param clock - Source of time.
   * @param bus - Communication between daemons.
   * @param own - What this daemon ejects under its allowances now.
   * @returns The view.
   */
  static create (clock: Clock, bus: PeerBus, own: () => readonly HolderUse[]): PeerUses {
    const uses = new PeerUses(clock, bus)
    bus.handle(USES_METHOD, async () => own() as unknown as JsonValue)
    return uses
  }

  /** Notes that a holder changed what it ejects. */
  hint (instanceId: string): void {
    if (instanceId !== this.bus.self.instanceId) this.hinted.add(instanceId)
  }

  /** Uses for a service that may be acted on now. */
  valid (service: string): readonly KnownUse[] {
    const nowMs = this.clock.monotonicMs()
    return [...this.byHolder.values()].flatMap(holder => holder.uses).filter(use => use.service === service && nowMs < use.validUntilMs)
  }

  /** Asks the holders that were hinted at, and those whose uses are getting old. */
  async refresh (): Promise<void> {
    const nowMs = this.clock.monotonicMs()
    const aging = [...this.byHolder].filter(([, held]) => held.uses.length > 0 && nowMs - held.calledAtMs >= USE_REFRESH_MS)
    const due = new Set([...this.hinted, ...aging.map(([instanceId]) => instanceId)])
    this.hinted.clear()
    await Promise.all([...due].map(async instanceId => { await this.ask(instanceId) }))
  }

  private async ask (instanceId: string): Promise<void> {
    const calledAtMs = this.clock.monotonicMs()
    const answer = await this.bus.call(instanceId, USES_METHOD, {}, CALL_TIMEOUT_MS)
    const parsed = usesSchema.safeParse(answer.isOk() ? answer.value : undefined)
    if (!parsed.success || calledAtMs < (this.byHolder.get(instanceId)?.calledAtMs ?? -Infinity)) return
    const uses = parsed.data.map(use => ({ ...use, validUntilMs: calledAtMs + Math.min(use.remainingMs, USE_LIFETIME_MS) }))
    if (uses.length === 0) this.byHolder.delete(instanceId)
    else this.byHolder.set(instanceId, { uses, calledAtMs })
  }
}
