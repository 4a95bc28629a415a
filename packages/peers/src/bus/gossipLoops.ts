import type { Clock, InstanceDirectory, InstanceIdentity, Log, Random } from '@lovagehoist/common'
import type { ByteBudget } from '../budget/byteBudget.js'
import type { FailureDetector } from '../membership/failureDetector.js'
import { EXCHANGE_TIMEOUT_MS } from '../membership/failureDetector.js'
import type { MemberRecord } from '../membership/memberRecord.js'
import type { MemberTable } from '../membership/memberTable.js'
import { choosePartners } from '../membership/partners.js'
import type { SelfPublisher } from '../membership/selfPublisher.js'
import { createDigest } from '../spread/antiEntropy.js'
import type { Spreader } from '../spread/spreader.js'
import type { WireEntry } from '../wire/messages.js'
import { recentlyConfirmedRefs } from './recentlyConfirmedRefs.js'
import { PartnerTask } from './partnerTask.js'
import type { PeerClient } from './peerClient.js'

const DIRECTORY_POLL_INTERVAL_MS = 2_000
const MAINTENANCE_INTERVAL_MS = 1_000
const SELF_PUBLISH_INTERVAL_MS = 250
const LEAVE_TIMEOUT_MS = 500
const JITTER_SHARE = 0.2
/** Time between two anti-entropy exchanges: 20 ms per member, but at least 2 s, so that the traffic stays bounded in a large fleet. */
const MIN_REPAIR_INTERVAL_MS = 2_000
const REPAIR_MS_PER_MEMBER = 20
const REPAIR_MIN_FREE_BUDGET_PERCENT = 25

/** Dependencies of the gossip loops. */
export interface GossipLoopsOptions {
  readonly self: InstanceIdentity
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly budget: ByteBudget
  readonly directory: InstanceDirectory
  readonly members: MemberTable
  readonly spreader: Spreader
  readonly client: PeerClient
  readonly detector: FailureDetector
  readonly selfPublisher: SelfPublisher
  readonly applyEntries: (entries: readonly WireEntry[], fromId: string) => void
}

interface RunningPartner {
  readonly task: PartnerTask
  readonly stop: AbortController
  readonly done: Promise<void>
}

/**
 * Whether a member needs a direct check: the link to it failed, the directory lists it as live although it is gone or
 * has not announced itself, or it counts as alive although it is not listed as live and never answered this daemon.
 */
const isInconsistent = ({ directoryState, goneAtMs, startId, suspectSinceMs, confirmedAtMs, isLinkFailed }: MemberRecord): boolean => {
  if (isLinkFailed) return true
  if (directoryState === 'live') return goneAtMs !== undefined || startId === ''
  return goneAtMs === undefined && suspectSinceMs === undefined && startId !== '' && confirmedAtMs === Number.NEGATIVE_INFINITY
}

/** Periodic tasks of the bus: directory polling, partner selection, anti-entropy and publishing this daemon's own state. */
export class GossipLoops {
  private readonly runningPartners = new Map<string, RunningPartner>()

  private constructor (private readonly options: GossipLoopsOptions) {}

  /**
   * Creates the loops without starting them.
   *
   * @param options - Dependencies.
   * @returns The loops.
   */
  static create (options: GossipLoopsOptions): GossipLoops {
    return new GossipLoops(options)
  }

  /** Instance ids of the current gossip partners. */
  partners (): Iterable<string> {
    return this.runningPartners.keys()
  }

  /**
   * Runs all loops until aborted.
   *
   * @param signal - Stops the loops.
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.runPeriodically(DIRECTORY_POLL_INTERVAL_MS, signal, async () => { await this.pollDirectory() }),
      this.runPeriodically(MAINTENANCE_INTERVAL_MS, signal, async () => { await this.maintain() }),
      this.runPeriodically(SELF_PUBLISH_INTERVAL_MS, signal, async () => { this.options.selfPublisher.publishIfDue() }),
      this.runPeriodically(MIN_REPAIR_INTERVAL_MS, signal, async () => { await this.repair(signal) })
    ])
  }

  /** Exchanges one last heartbeat with each partner to deliver queued entries, then stops the partner tasks. */
  async flush (): Promise<void> {
    const partners = [...this.runningPartners.values()]
    await Promise.all(partners.map(async ({ task }) => { await task.exchangeHeartbeat(LEAVE_TIMEOUT_MS) }))
    for (const { stop } of partners) stop.abort()
    await Promise.all(partners.map(async ({ done }) => { await done }))
  }

  private async runPeriodically (periodMs: number, signal: AbortSignal, run: () => Promise<void>): Promise<void> {
    const { clock, random } = this.options
    while (!signal.aborted) {
      await run()
      await clock.sleepMs(periodMs * (1 + JITTER_SHARE * (random.next() - 0.5)), signal)
    }
  }

  private async pollDirectory (): Promise<void> {
    const listed = await this.options.directory.list()
    if (listed.isOk()) this.options.members.applyDirectory(listed.value.filter(entry => entry.role === 'daemon'))
  }

  private async maintain (): Promise<void> {
    const { members, spreader } = this.options
    for (const ref of members.sweep()) spreader.store.forget(ref)
    spreader.store.sweep()
    this.updatePartners()
    await this.probeInconsistentMember()
  }

  private updatePartners (): void {
    const { self, members } = this.options
    const candidates = members.all().filter(record => record.goneAtMs === undefined && !record.isLeaving)
    const chosen = choosePartners(self, candidates)
    for (const [instanceId, { stop }] of this.runningPartners) {
      if (chosen.has(instanceId)) continue
      stop.abort()
      this.runningPartners.delete(instanceId)
    }
    for (const instanceId of chosen) if (!this.runningPartners.has(instanceId)) this.startPartner(instanceId)
  }

  private startPartner (instanceId: string): void {
    const { members, spreader, applyEntries } = this.options
    const task = PartnerTask.create({
      ...this.options,
      instanceId,
      recentlyConfirmedRefs: () => recentlyConfirmedRefs(members),
      onAnswer: answer => {
        applyEntries(answer.entries, instanceId)
        if (!answer.isKnown) spreader.enqueue(instanceId, spreader.store.repairedEntriesOf(members.selfRef))
      }
    })
    const stop = new AbortController()
    const done = task.run(stop.signal).catch((error: unknown) => { this.options.log.error('gossip partner task failed', { instanceId, error: String(error) }) })
    this.runningPartners.set(instanceId, { task, stop, done })
  }

  /** Contacts one random inconsistent member: it may have come back, been replaced or left unnoticed. */
  private async probeInconsistentMember (): Promise<void> {
    const { members, random, client, detector, applyEntries } = this.options
    const inconsistent = members.all().filter(isInconsistent)
    const member = inconsistent[inconsistent.length === 0 ? 0 : random.int(inconsistent.length)]
    if (member === undefined) return
    const answer = await client.exchange({ ...member, isReplaced: true }, 'heartbeat', { heard: [], entries: [] }, EXCHANGE_TIMEOUT_MS)
    if (answer.isOk()) applyEntries(answer.value.entries, member.instanceId)
    else await detector.handleFailedExchange(member)
  }

  /** Compares digests with one random confirmed partner and exchanges the entries that differ (anti-entropy). */
  private async repair (signal: AbortSignal): Promise<void> {
    const { members, random, clock, client, spreader, budget, applyEntries } = this.options
    const extraMs = members.all().length * REPAIR_MS_PER_MEMBER - MIN_REPAIR_INTERVAL_MS
    if (extraMs > 0) await clock.sleepMs(extraMs, signal)
    const partners = [...this.runningPartners.keys()].flatMap(instanceId => members.find(instanceId) ?? []).filter(record => members.isConfirmed(record))
    const partner = partners[partners.length === 0 ? 0 : random.int(partners.length)]
    if (partner === undefined || signal.aborted || Math.min(partner.freeBudgetPercent, budget.freeBudgetPercent()) < REPAIR_MIN_FREE_BUDGET_PERCENT) return
    const answer = await client.exchange(partner, 'digest', { hashes: [...createDigest(spreader)] }, EXCHANGE_TIMEOUT_MS)
    if (answer.isErr()) return
    applyEntries(answer.value.entries, partner.instanceId)
    for (const ref of answer.value.wanted) spreader.enqueue(partner.instanceId, spreader.store.repairedEntriesOf(ref))
  }
}
