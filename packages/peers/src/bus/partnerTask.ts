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

const HEARTBEAT_MS = 2_000
const JITTER_SHARE = 0.2
const PERCENT = 100

interface PushRule {
  /** Shortest time from one message to the next when an entry of the class waits. */
  readonly gapMs: number
  /** Free share of the budget below which the entry waits for the next heartbeat. */
  readonly roomPercent: number
}

const PUSH_RULES: Readonly<Record<GossipTopic, PushRule>> = {
  config: { gapMs: 20, roomPercent: 5 },
  ejection: { gapMs: 20, roomPercent: 10 },
  leaving: { gapMs: 50, roomPercent: 20 },
  poison: { gapMs: 50, roomPercent: 20 },
  membership: { gapMs: 500, roomPercent: 60 },
  evidence: { gapMs: 500, roomPercent: 70 },
  load: { gapMs: 500, roomPercent: 90 }
}

/** What the task of a partner needs. */
export interface PartnerTaskOptions {
  readonly instanceId: string
  readonly clock: Clock
  readonly random: Random
  readonly budget: ByteBudget
  readonly members: MemberTable
  readonly client: PeerClient
  readonly spreader: Spreader
  readonly detector: FailureDetector
  /** Processes heard lately. */
  readonly heard: () => readonly number[]
  /** Takes in what the partner answered. */
  readonly onAnswer: (answer: AnswerOf<'heartbeat'>) => void
}

/** Exchanges heartbeats and new entries with one partner. */
export class PartnerTask {
  private isAnswering = true
  private readonly outbox: Outbox

  private constructor (private readonly options: PartnerTaskOptions) {
    this.outbox = options.spreader.open(options.instanceId)
  }

  /**
   * Creates the task of a partner.
   *
   * @param options - Partner and what the task works with.
   * @returns The task, not yet running.
   */
  static create (options: PartnerTaskOptions): PartnerTask {
    return new PartnerTask(options)
  }

  /**
   * Exchanges messages until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = this.options.clock.monotonicMs()
      await this.beat(EXCHANGE_TIMEOUT_MS)
      await this.pause(startedAtMs, signal)
    }
    this.options.spreader.close(this.options.instanceId, this.outbox)
  }

  /**
   * Exchanges one heartbeat with what waits for the partner.
   *
   * @param timeoutMs - Longest wait for the answer.
   */
  async beat (timeoutMs: number): Promise<void> {
    const { members, client, spreader, detector, instanceId } = this.options
    const member = members.find(instanceId)
    if (member === undefined) return
    const batch = this.isFirstContact(member) ? { held: [], wire: [] } : spreader.batch(instanceId, member.roomPercent)
    const answer = await client.exchange(member, 'heartbeat', { heard: [...this.options.heard()], entries: [...batch.wire] }, timeoutMs)
    this.isAnswering = answer.isOk()
    if (answer.isErr()) {
      if (answer.error.kind === 'unreachable' && !members.find(instanceId)?.isReplaced) await detector.investigate(member)
      return
    }
    spreader.sent(instanceId, batch)
    this.options.onAnswer(answer.value)
  }

  private isFirstContact (member: MemberRecord): boolean {
    return member.startId === '' || member.isReplaced
  }

  private async pause (startedAtMs: number, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options
    const dueAtMs = startedAtMs + HEARTBEAT_MS * (1 + JITTER_SHARE * (random.next() - 0.5))
    while (!signal.aborted) {
      const waitMs = Math.min(dueAtMs, startedAtMs + this.gapMs()) - clock.monotonicMs()
      if (waitMs <= 0) return
      await this.wait(waitMs, signal)
    }
  }

  private gapMs (): number {
    if (!this.isAnswering) return Number.POSITIVE_INFINITY
    const { budget, members, instanceId } = this.options
    const roomPercent = Math.min(members.find(instanceId)?.roomPercent ?? PERCENT, budget.roomPercent())
    const gaps = [...this.outbox.topics()].map(topic => PUSH_RULES[topic]).filter(rule => roomPercent >= rule.roomPercent).map(rule => rule.gapMs)
    return Math.min(...gaps)
  }

  private async wait (waitMs: number, signal: AbortSignal): Promise<void> {
    const stop = new AbortController()
    const abort = (): void => { stop.abort() }
    signal.addEventListener('abort', abort, { once: true })
    await Promise.race([this.options.clock.sleepMs(waitMs, stop.signal), this.outbox.added(stop.signal)])
    signal.removeEventListener('abort', abort)
    stop.abort('ended')
  }
}
