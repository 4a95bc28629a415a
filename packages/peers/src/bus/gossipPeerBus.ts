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
import { applyMembership } from '../membership/membershipEntries.js'
import { SelfState } from '../membership/selfState.js'
import { Spreader } from '../spread/spreader.js'
import type { PeerAddress, PeerTransport } from '../transport/peerTransport.js'
import type { CodecName } from '../wire/codec.js'
import type { WireEntry } from '../wire/messages.js'
import { GossipLoops } from './gossipLoops.js'
import { takeEntries } from './intake.js'
import { createHandlers } from './peerHandlers.js'
import { PeerClient } from './peerClient.js'
import { PeerMetrics } from './peerMetrics.js'
import { PeerServer } from './peerServer.js'

/** Time for which callers of `members` share one view. */
const VIEW_MS = 50

interface View {
  readonly atMs: number
  readonly members: readonly Member[]
}

/** Bytes that a call and its answer are reckoned with before they are counted. */
const CALL_BYTES = 1_000
/** Share of the budget's window that calls may fill, by the first word of their method. */
const CALL_WINDOW_SHARE: Readonly<Record<string, number>> = { config: 0.95, health: 0.9, targets: 0.85, admin: 0.85 }
const OTHER_CALL_WINDOW_SHARE = 0.8

const callWindowShare = (method: string): number => CALL_WINDOW_SHARE[method.split('.')[0] ?? ''] ?? OTHER_CALL_WINDOW_SHARE

/** What the bus needs. */
export interface GossipPeerBusOptions {
  readonly self: InstanceIdentity
  /** Address that others reach this daemon at. */
  readonly host: string
  /** Address that other daemons are told, where it differs from the one listened on. */
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

/** Communication between daemons by heartbeats with few partners, pushed entries and anti-entropy. */
export class GossipPeerBus implements PeerBus {
  private readonly methods = new Map<string, PeerMethodHandler>()
  private view: View | undefined
  private readonly budget: ByteBudget
  private readonly metrics: PeerMetrics
  private readonly table: MemberTable
  private readonly spreader: Spreader
  private readonly selfState: SelfState
  private readonly client: PeerClient
  private readonly server: PeerServer
  private readonly loops: GossipLoops

  private constructor (private readonly options: GossipPeerBusOptions) {
    const { self, clock, random, invariants, registry, budgetBytesPerSecond, log } = options
    this.budget = ByteBudget.create({ bytesPerSecond: budgetBytesPerSecond, clock, invariants })
    this.metrics = options.metrics ?? PeerMetrics.create(registry)
    this.table = MemberTable.create({ self, clock, onOutranked: epoch => { this.selfState.raise(epoch) } })
    const shared = { ...options, budget: this.budget, metrics: this.metrics, members: this.table }
    this.spreader = Spreader.create(shared)
    this.selfState = SelfState.create(self, clock, this.spreader)
    this.client = PeerClient.create(shared)
    const detector = FailureDetector.create({ random, members: this.table, client: this.client, spreader: this.spreader })
    const take = (entries: readonly WireEntry[], fromId: string): void => { this.take(entries, fromId) }
    const parts = { ...shared, client: this.client, spreader: this.spreader, detector, take }
    const handlers = createHandlers({ ...parts, methods: this.methods })
    this.server = PeerServer.create({ ...shared, handlers, head: (instanceId, startId) => this.client.head(instanceId, startId) })
    this.loops = GossipLoops.create({ ...parts, selfState: this.selfState, log: log.child('peers') })
    this.metrics.watch(registry, { statuses: () => this.statusCounts(), bytesPerSecond: () => this.budget.bytesPerSecond() })
  }

  /**
   * Creates a bus that does not listen yet.
   *
   * @param options - This process, place in the fleet, time, randomness, list of instances and transport.
   * @returns The bus.
   */
  static create (options: GossipPeerBusOptions): GossipPeerBus {
    return new GossipPeerBus(options)
  }

  get self (): InstanceIdentity {
    return this.options.self
  }

  /**
   * Starts to answer other daemons.
   *
   * @returns The port.
   */
  async listen (): Promise<number> {
    const port = await this.options.transport.listen(this.server.receive)
    this.selfState.listen(this.options.advertised ?? { host: this.options.host, port })
    return port
  }

  /**
   * Talks to other daemons until stopped; then tells them that this one leaves.
   *
   * @param signal - Ends the talk.
   */
  async run (signal: AbortSignal): Promise<void> {
    await this.loops.run(signal)
    this.selfState.leave()
    await this.loops.flush()
  }

  /** Stops listening and cuts all connections. */
  async close (): Promise<void> {
    await this.options.transport.close()
  }

  /**
   * Says what this daemon tells others about itself; it is read several times a second.
   *
   * @param read - Reads the description.
   */
  describeSelf (read: () => SelfDescription): void {
    this.selfState.describe(read)
  }

  readonly members = (): readonly Member[] => {
    const nowMs = this.options.clock.monotonicMs()
    if (this.view === undefined || nowMs - this.view.atMs >= VIEW_MS) this.view = { atMs: nowMs, members: this.viewMembers(nowMs) }
    return this.view.members
  }

  readonly publish = (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number): void => {
    this.spreader.publish(topic, key, value, lifetimeMs)
  }

  readonly entries = (topic: GossipTopic): readonly GossipEntry[] => this.spreader.entries(topic)

  readonly onEntry = (topic: GossipTopic, listener: (entry: GossipEntry) => void): (() => void) => this.spreader.onEntry(topic, listener)

  readonly call = async (instanceId: string, method: string, params: JsonValue, timeoutMs: number): Promise<Result<JsonValue, PeerError>> => {
    const member = this.table.find(instanceId)
    if (member === undefined || member.startId === '') return err({ kind: 'unreachable', message: `${instanceId} is not known` })
    if (!this.budget.fits(CALL_BYTES, callWindowShare(method))) return err({ kind: 'over-budget', message: 'the byte budget is spent' })
    const answer = await this.client.exchange(member, 'call', { method, params }, timeoutMs)
    return answer.map(({ value }) => value)
  }

  readonly handle = (method: string, handler: PeerMethodHandler): void => { this.methods.set(method, handler) }

  /** Bounded state without secrets. */
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

  private viewMembers (nowMs: number): readonly Member[] {
    const own = this.selfState.current().configDigest
    return this.table.all().map(record => {
      const { instanceId, startId, region, availabilityZone, host, port, description } = record
      const { configVersion, configDigest, isReady } = description
      const digest = configDigest !== '' && own.startsWith(configDigest) ? own : configDigest
      const status = this.table.statusOf(record)
      return { instanceId, startId, region, availabilityZone, host, port, status, configVersion, configDigest: digest, isReady, ageMs: nowMs - record.heardAtMs }
    })
  }

  private take (entries: readonly WireEntry[], fromId: string): void {
    takeEntries({ members: this.table, spreader: this.spreader }, entries, fromId, wire => {
      applyMembership(this.table, wire, epoch => { this.selfState.raise(epoch) })
    })
  }

  private statusCounts (): ReadonlyMap<Member['status'], number> {
    const counts = new Map<Member['status'], number>([['reachable', 0], ['suspect', 0], ['leaving', 0], ['gone', 0]])
    for (const record of this.table.all()) {
      const status = this.table.statusOf(record)
      counts.set(status, (counts.get(status) ?? 0) + 1)
    }
    return counts
  }
}
