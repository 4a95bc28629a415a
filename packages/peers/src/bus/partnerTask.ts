import type { Clock, Random, GossipTopic } from '@lovagehoist/common'
import type { ByteBudget } from '../budget/byteBudget.js'
import { EXCHANGE_TIMEOUT_MS } from '../membership/failureDetector.js'
import type { FailureDetector } from '../membership/failureDetector.js'
import type { MemberRecord } from '../membership/memberRecord.js'
import type { MemberTable } from '../membership/memberTable.js'
import type { Outbox } from '../spread/outbox.js'
import type { Spreader } from '../spread/spreader.js'
import type { AnswerOf } from '../wire/messages.js'
import type { PeerClient } from './peerClient.js'

const HEARTBEAT_INTERVAL_MS = 2_000
const JITTER_SHARE = 0.2
const PERCENT = 100

interface PushRule {
  /** Minimum time between two messages while an entry of the topic is queued. */
  readonly minIntervalMs: number
  /** Free share of the byte budget below which the entry waits for the next regular heartbeat. */
  readonly minFreeBudgetPercent: number
}

/** When a queued entry of each topic is sent ahead of the next regular heartbeat. */
const PUSH_RULES: Readonly<Record<GossipTopic, PushRule>> = {
  config: { minIntervalMs: 20, minFreeBudgetPercent: 5 },
  ejection: { minIntervalMs: 20, minFreeBudgetPercent: 10 },
  leaving: { minIntervalMs: 50, minFreeBudgetPercent: 20 },
  poison: { minIntervalMs: 50, minFreeBudgetPercent: 20 },
  membership: { minIntervalMs: 500, minFreeBudgetPercent: 60 },
  evidence: { minIntervalMs: 500, minFreeBudgetPercent: 70 },
  load: { minIntervalMs: 500, minFreeBudgetPercent: 90 }
}

/** Options of a partner task. */
export interface PartnerTaskOptions {
  readonly instanceId: string
  readonly clock: Clock
  readonly random: Random
  readonly budget: ByteBudget
  readonly members: MemberTable
  readonly client: PeerClient
  readonly spreader: Spreader
  readonly detector: FailureDetector
  /** Processes whose link to this one was confirmed recently. */
  readonly recentlyConfirmedRefs: () => readonly number[]
  /** Called with each heartbeat answer of the partner. */
  readonly onAnswer: (answer: AnswerOf<'heartbeat'>) => void
}

/** Exchanges heartbeats and queued entries with one gossip partner. */
export class PartnerTask {
  private isAnswering = true
  private readonly outbox: Outbox

  private constructor (private readonly options: PartnerTaskOptions) {
    this.outbox = options.spreader.openOutbox(options.instanceId)
  }

  /**
   * Creates the task of a partner without starting it.
   *
   * @param options - Partner and dependencies.
   * @returns The task.
   */
  static create (options: PartnerTaskOptions): PartnerTask {
    return new PartnerTask(options)
  }

  /**
   * Exchanges heartbeats until aborted.
   *
   * @param signal - Stops the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = this.options.clock.monotonicMs()
      await this.exchangeHeartbeat(EXCHANGE_TIMEOUT_MS)
      await this.waitUntilDue(startedAtMs, signal)
    }
    this.options.spreader.closeOutbox(this.options.instanceId, this.outbox)
  }

  /**
   * Exchanges one heartbeat that carries the queued entries; at first contact with a process it carries none.
   *
   * @param timeoutMs - Maximum wait for the answer, in milliseconds.
   */
  async exchangeHeartbeat (timeoutMs: number): Promise<void> {
    const { members, client, spreader, detector, instanceId } = this.options
    const member = members.find(instanceId)
    if (member === undefined) return
    const batch = this.isFirstContact(member) ? { stored: [], wire: [] } : spreader.createBatch(instanceId, member.freeBudgetPercent)
    const answer = await client.exchange(member, 'heartbeat', { heard: [...this.options.recentlyConfirmedRefs()], entries: [...batch.wire] }, timeoutMs)
    this.isAnswering = answer.isOk()
    if (answer.isErr()) {
      if (answer.error.kind === 'unreachable' && !members.find(instanceId)?.isReplaced) await detector.handleFailedExchange(member)
      return
    }
    spreader.confirmSent(instanceId, batch)
    this.options.onAnswer(answer.value)
  }

  private isFirstContact (member: MemberRecord): boolean {
    return member.startId === '' || member.isReplaced
  }

  private async waitUntilDue (startedAtMs: number, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options
    const dueAtMs = startedAtMs + HEARTBEAT_INTERVAL_MS * (1 + JITTER_SHARE * (random.next() - 0.5))
    while (!signal.aborted) {
      const waitMs = Math.min(dueAtMs, startedAtMs + this.pushIntervalMs()) - clock.monotonicMs()
      if (waitMs <= 0) return
      await this.waitForEntry(waitMs, signal)
    }
  }

  private pushIntervalMs (): number {
    if (!this.isAnswering) return Number.POSITIVE_INFINITY
    const { budget, members, instanceId } = this.options
    const freeBudgetPercent = Math.min(members.find(instanceId)?.freeBudgetPercent ?? PERCENT, budget.freeBudgetPercent())
    const intervalsMs = [...this.outbox.topics()].map(topic => PUSH_RULES[topic]).filter(rule => freeBudgetPercent >= rule.minFreeBudgetPercent).map(rule => rule.minIntervalMs)
    return Math.min(...intervalsMs)
  }

  private async waitForEntry (waitMs: number, signal: AbortSignal): Promise<void> {
    const stop = new AbortController()
    const abort = (): void => { stop.abort() }
    signal.addEventListener('abort', abort, { once: true })
    await Promise.race([this.options.clock.sleepMs(waitMs, stop.signal), this.outbox.waitForEntry(stop.signal)])
    signal.removeEventListener('abort', abort)
    stop.abort('ended')
  }
}
