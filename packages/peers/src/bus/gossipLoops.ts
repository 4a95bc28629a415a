import type { Clock, InstanceDirectory, InstanceIdentity, Log, Random } from '@lovagehoist/common'
import type { ByteBudget } from '../budget/byteBudget.js'
import type { FailureDetector } from '../membership/failureDetector.js'
import { EXCHANGE_TIMEOUT_MS } from '../membership/failureDetector.js'
import type { MemberRecord } from '../membership/memberRecord.js'
import type { MemberTable } from '../membership/memberTable.js'
import { choosePartners } from '../membership/partners.js'
import type { SelfState } from '../membership/selfState.js'
import { digestEntries } from '../spread/antiEntropy.js'
import type { Spreader } from '../spread/spreader.js'
import type { WireEntry } from '../wire/messages.js'
import { heardLately } from './heardLately.js'
import { PartnerTask } from './partnerTask.js'
import type { PeerClient } from './peerClient.js'

const DIRECTORY_POLL_MS = 2_000
const ROUND_MS = 1_000
const TELL_MS = 250
const LEAVE_TIMEOUT_MS = 500
const JITTER_SHARE = 0.2
/** Time between two comparisons of all entries: a fixed part and a part for each daemon. */
const MIN_REPAIR_MS = 2_000
const REPAIR_MS_PER_MEMBER = 20
const REPAIR_ROOM_PERCENT = 25

/** What the loops work with. */
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
  readonly selfState: SelfState
  readonly take: (entries: readonly WireEntry[], fromId: string) => void
}

interface RunningPartner {
  readonly task: PartnerTask
  readonly stop: AbortController
  readonly done: Promise<void>
}

const isStray = ({ listed, goneAtMs, startId, suspectSinceMs, confirmedAtMs, isLinkFailed }: MemberRecord): boolean => {
  if (isLinkFailed) return true
  if (listed === 'live') return goneAtMs !== undefined || startId === ''
  return goneAtMs === undefined && suspectSinceMs === undefined && startId !== '' && confirmedAtMs === Number.NEGATIVE_INFINITY
}

/** Loops of the bus: the platform's list, partners, repair, and what this daemon tells about itself. */
export class GossipLoops {
  private readonly running = new Map<string, RunningPartner>()

  private constructor (private readonly options: GossipLoopsOptions) {}

  /**
   * Creates the loops.
   *
   * @param options - What they work with.
   * @returns The loops, not yet running.
   */
  static create (options: GossipLoopsOptions): GossipLoops {
    return new GossipLoops(options)
  }

  /** Instance ids of the partners. */
  partners (): Iterable<string> {
    return this.running.keys()
  }

  /**
   * Runs all loops.
   *
   * @param signal - Ends them.
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.every(DIRECTORY_POLL_MS, signal, async () => { await this.readList() }),
      this.every(ROUND_MS, signal, async () => { await this.round() }),
      this.every(TELL_MS, signal, async () => { this.options.selfState.tell() }),
      this.every(MIN_REPAIR_MS, signal, async () => { await this.repair(signal) })
    ])
  }

  /** Sends what waits to all partners once, and ends their tasks. */
  async flush (): Promise<void> {
    const partners = [...this.running.values()]
    await Promise.all(partners.map(async ({ task }) => { await task.beat(LEAVE_TIMEOUT_MS) }))
    for (const { stop } of partners) stop.abort()
    await Promise.all(partners.map(async ({ done }) => { await done }))
  }

  private async every (periodMs: number, signal: AbortSignal, run: () => Promise<void>): Promise<void> {
    const { clock, random } = this.options
    while (!signal.aborted) {
      await run()
      await clock.sleepMs(periodMs * (1 + JITTER_SHARE * (random.next() - 0.5)), signal)
    }
  }

  private async readList (): Promise<void> {
    const listed = await this.options.directory.list()
    if (listed.isOk()) this.options.members.applyList(listed.value.filter(entry => entry.role === 'daemon'))
  }

  private async round (): Promise<void> {
    const { members, spreader } = this.options
    for (const ref of members.sweep()) spreader.store.forget(ref)
    spreader.store.sweep()
    this.updatePartners()
    await this.probeStray()
  }

  private updatePartners (): void {
    const { self, members } = this.options
    const candidates = members.all().filter(record => record.goneAtMs === undefined && !record.isLeaving)
    const chosen = choosePartners(self, candidates)
    for (const [instanceId, { stop }] of this.running) {
      if (chosen.has(instanceId)) continue
      stop.abort()
      this.running.delete(instanceId)
    }
    for (const instanceId of chosen) if (!this.running.has(instanceId)) this.start(instanceId)
  }

  private start (instanceId: string): void {
    const { members, spreader, take } = this.options
    const task = PartnerTask.create({
      ...this.options,
      instanceId,
      heard: () => heardLately(members),
      onAnswer: answer => {
        take(answer.entries, instanceId)
        if (!answer.isKnown) spreader.queue(instanceId, spreader.store.repairedOf(members.selfRef))
      }
    })
    const stop = new AbortController()
    const done = task.run(stop.signal).catch((error: unknown) => { this.options.log.error('the task of a partner failed', { instanceId, error: String(error) }) })
    this.running.set(instanceId, { task, stop, done })
  }

  /** Tries one daemon whose list entry and last word disagree: it may have returned, been replaced or left unnoticed. */
  private async probeStray (): Promise<void> {
    const { members, random, client, detector, take } = this.options
    const strays = members.all().filter(isStray)
    const stray = strays[strays.length === 0 ? 0 : random.int(strays.length)]
    if (stray === undefined) return
    const answer = await client.exchange({ ...stray, isReplaced: true }, 'heartbeat', { heard: [], entries: [] }, EXCHANGE_TIMEOUT_MS)
    if (answer.isOk()) take(answer.value.entries, stray.instanceId)
    else await detector.investigate(stray)
  }

  private async repair (signal: AbortSignal): Promise<void> {
    const { members, random, clock, client, spreader, budget, take } = this.options
    const extraMs = members.all().length * REPAIR_MS_PER_MEMBER - MIN_REPAIR_MS
    if (extraMs > 0) await clock.sleepMs(extraMs, signal)
    const partners = [...this.running.keys()].flatMap(instanceId => members.find(instanceId) ?? []).filter(record => members.isConfirmed(record))
    const partner = partners[partners.length === 0 ? 0 : random.int(partners.length)]
    if (partner === undefined || signal.aborted || Math.min(partner.roomPercent, budget.roomPercent()) < REPAIR_ROOM_PERCENT) return
    const answer = await client.exchange(partner, 'digest', { hashes: [...digestEntries(spreader)] }, EXCHANGE_TIMEOUT_MS)
    if (answer.isErr()) return
    take(answer.value.entries, partner.instanceId)
    for (const ref of answer.value.wanted) spreader.queue(partner.instanceId, spreader.store.repairedOf(ref))
  }
}
