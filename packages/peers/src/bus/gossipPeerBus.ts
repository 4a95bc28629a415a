import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Registry } from 'prom-client'
import type {
  Clock, InstanceDirectory, InstanceIdentity, Invariants, JsonValue, Log, Member, PeerBus, PeerError, PeerMethodHandler, Random, GossipEntry, GossipTopic
} from '@lovagehoist/common'
import { ByteBudget } from '../budget/byteBudget.js'
import { FailureDetector } from '../membership/failureDetector.js'
import { MemberTable } from '../membership/memberTable.js'
import type { SelfDescription } from '../membership/memberRecord.js'
import { applyMembershipEntry } from '../membership/membershipEntries.js'
import { SelfPublisher } from '../membership/selfPublisher.js'
import { Spreader } from '../spread/spreader.js'
import type { PeerAddress, PeerTransport } from '../transport/peerTransport.js'
import type { CodecName } from '../wire/codec.js'
import type { WireEntry } from '../wire/messages.js'
import { GossipLoops } from './gossipLoops.js'
import { applyReceivedEntries } from './receivedEntries.js'
import { createHandlers } from './peerHandlers.js'
import { PeerClient } from './peerClient.js'
import { PeerMetrics } from './peerMetrics.js'
import { PeerServer } from './peerServer.js'

/** Time for which the result of `members` is cached. */
const MEMBERS_CACHE_MS = 50

interface MembersSnapshot {
  readonly takenAtMs: number
  readonly members: readonly Member[]
}

/** Estimated size of a call and its answer, checked against the byte budget before the call. */
const ESTIMATED_CALL_BYTES = 1_000
/** Share of the byte budget's window that calls may use, by the first part of the method name. */
const CALL_WINDOW_SHARE: Readonly<Record<string, number>> = { config: 0.95, health: 0.9, targets: 0.85, admin: 0.85 }
const OTHER_CALL_WINDOW_SHARE = 0.8

const callWindowShare = (method: string): number => CALL_WINDOW_SHARE[method.split('.')[0] ?? ''] ?? OTHER_CALL_WINDOW_SHARE

/** Options of the bus. */
export interface GossipPeerBusOptions {
  readonly self: InstanceIdentity
  /** Address that other daemons reach this one at. */
  readonly host: string
  /** Address announced to other daemons, if it differs from the one listened on. */
  readonly advertised?: PeerAddress | undefined
  readonly environment: string
  readonly budgetBytesPerSecond: number
  readonly codec: CodecName
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly registry: Registry
  readonly invariants: Invariants
  readonly directory: InstanceDirectory
  readonly transport: PeerTransport
  readonly metrics?: PeerMetrics
}

/** Gossip between daemons: heartbeats with a few partners, pushed entries and anti-entropy. */
export class GossipPeerBus implements PeerBus {
  private readonly methods = new Map<string, PeerMethodHandler>()
  private membersSnapshot: MembersSnapshot | undefined
  private readonly budget: ByteBudget
  private readonly metrics: PeerMetrics
  private readonly memberTable: MemberTable
  private readonly spreader: Spreader
  private readonly selfPublisher: SelfPublisher
  private readonly client: PeerClient
  private readonly server: PeerServer
  private readonly loops: GossipLoops

  private constructor (private readonly options: GossipPeerBusOptions) {
    const { self, clock, random, invariants, registry, budgetBytesPerSecond, log } = options
    this.budget = ByteBudget.create({ bytesPerSecond: budgetBytesPerSecond, clock, invariants })
    this.metrics = options.metrics ?? PeerMetrics.create(registry)
    this.memberTable = MemberTable.create({ self, clock, onOutranked: epoch => { this.selfPublisher.outrankEpoch(epoch) } })
    const shared = { ...options, budget: this.budget, metrics: this.metrics, members: this.memberTable }
    this.spreader = Spreader.create(shared)
    this.selfPublisher = SelfPublisher.create(self, clock, this.spreader)
    this.client = PeerClient.create(shared)
    const detector = FailureDetector.create({ random, members: this.memberTable, client: this.client, spreader: this.spreader })
    const applyEntries = (entries: readonly WireEntry[], fromId: string): void => { this.applyEntries(entries, fromId) }
    const parts = { ...shared, client: this.client, spreader: this.spreader, detector, applyEntries }
    const handlers = createHandlers({ ...parts, methods: this.methods })
    this.server = PeerServer.create({ ...shared, handlers, createHead: (instanceId, startId) => this.client.createHead(instanceId, startId) })
    this.loops = GossipLoops.create({ ...parts, selfPublisher: this.selfPublisher, log: log.child('peers') })
    this.metrics.registerGauges(registry, { statuses: () => this.statusCounts(), bytesPerSecond: () => this.budget.bytesPerSecond() })
  }

  /**
   * Creates a bus that does not listen yet.
   *
   * @param options - Identity, clock, randomness, instance directory and transport.
   * @returns The bus.
   */
  static create (options: GossipPeerBusOptions): GossipPeerBus {
    return new GossipPeerBus(options)
  }

  get self (): InstanceIdentity {
    return this.options.self
  }

  /**
   * Starts listening for other daemons and announces this daemon's address.
   *
   * @returns The port listened on.
   */
  async listen (): Promise<number> {
    const port = await this.options.transport.listen(this.server.receive)
    this.selfPublisher.publishAddress(this.options.advertised ?? { host: this.options.host, port })
    return port
  }

  /**
   * Runs the gossip loops until aborted, then announces to the partners that this daemon leaves.
   *
   * @param signal - Stops the loops.
   */
  async run (signal: AbortSignal): Promise<void> {
    await this.loops.run(signal)
    this.selfPublisher.publishLeaving()
    await this.loops.flush()
  }

  /** Stops listening and closes all connections. */
  async close (): Promise<void> {
    await this.options.transport.close()
  }

  /**
   * Sets the source of the description that this daemon publishes about itself.
   *
   * @param read - Returns the current description; called several times a second.
   */
  describeSelf (read: () => SelfDescription): void {
    this.selfPublisher.setDescriptionReader(read)
  }

  readonly members = (): readonly Member[] => {
    const nowMs = this.options.clock.monotonicMs()
    if (this.membersSnapshot === undefined || nowMs - this.membersSnapshot.takenAtMs >= MEMBERS_CACHE_MS) this.membersSnapshot = { takenAtMs: nowMs, members: this.listMembers(nowMs) }
    return this.membersSnapshot.members
  }

  readonly publish = (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number): void => {
    this.spreader.publish(topic, key, value, lifetimeMs)
  }

  readonly entries = (topic: GossipTopic): readonly GossipEntry[] => this.spreader.entries(topic)

  readonly onEntry = (topic: GossipTopic, listener: (entry: GossipEntry) => void): (() => void) => this.spreader.onEntry(topic, listener)

  readonly call = async (instanceId: string, method: string, params: JsonValue, timeoutMs: number): Promise<Result<JsonValue, PeerError>> => {
    const member = this.memberTable.find(instanceId)
    if (member === undefined || member.startId === '') return err({ kind: 'unreachable', message: `${instanceId} is not known` })
    if (!this.budget.fits(ESTIMATED_CALL_BYTES, callWindowShare(method))) return err({ kind: 'over-budget', message: 'the byte budget is spent' })
    const answer = await this.client.exchange(member, 'call', { method, params }, timeoutMs)
    return answer.map(({ value }) => value)
  }

  readonly handle = (method: string, handler: PeerMethodHandler): void => { this.methods.set(method, handler) }

  /** State for debugging; bounded in size and without secrets. */
  dump (): JsonValue {
    const members = this.members().map(({ instanceId, status, configVersion, ageMs }) => [instanceId, status, configVersion, Math.round(ageMs)])
    return {
      ...this.options.self,
      bytesPerSecond: this.budget.bytesPerSecond(),
      entries: this.spreader.store.size,
      partners: [...this.loops.partners()],
      refused: this.metrics.refusalCounts(),
      members
    }
  }

  private listMembers (nowMs: number): readonly Member[] {
    const ownConfigDigest = this.selfPublisher.currentDescription().configDigest
    return this.memberTable.all().map(record => {
      const { instanceId, startId, region, availabilityZone, host, port, description } = record
      const { configVersion, configDigest, isReady } = description
      const digest = configDigest !== '' && ownConfigDigest.startsWith(configDigest) ? ownConfigDigest : configDigest
      const status = this.memberTable.statusOf(record)
      return { instanceId, startId, region, availabilityZone, host, port, status, configVersion, configDigest: digest, isReady, ageMs: nowMs - record.heardAtMs }
    })
  }

  private applyEntries (entries: readonly WireEntry[], fromId: string): void {
    applyReceivedEntries({ members: this.memberTable, spreader: this.spreader }, entries, fromId, wire => {
      applyMembershipEntry(this.memberTable, wire, epoch => { this.selfPublisher.outrankEpoch(epoch) })
    })
  }

  private statusCounts (): ReadonlyMap<Member['status'], number> {
    const counts = new Map<Member['status'], number>([['reachable', 0], ['suspect', 0], ['leaving', 0], ['gone', 0]])
    for (const record of this.memberTable.all()) {
      const status = this.memberTable.statusOf(record)
      counts.set(status, (counts.get(status) ?? 0) + 1)
    }
    return counts
  }
}
