import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock, Invariants, OutcomeKind, Target, TargetResponse, TargetFailure, TargetRequest, TargetSender } from '@lovagehoist/common'
import type { Connection } from './connection.js'
import { ConnectionList } from './connectionList.js'
import { Exchange } from './exchange.js'
import type { ExchangeFailure } from './exchange.js'

/** What the sender needs. */
export interface TargetSenderOptions {
  readonly clock: Clock
  /** Limit of connecting to a target of a service. */
  readonly connectTimeoutMs: (service: string) => number
  readonly registry?: Registry
  readonly invariants?: Invariants
}

/** Time between two sweeps of idle connections. */
const SWEEP_MS = 5_000

const registerConnectionGauge = (registry: Registry, lists: ReadonlyMap<string, ConnectionList>): Gauge => new Gauge({
  name: 'lovagehoist_target_connections',
  help: 'Connections to targets that are open.',
  registers: [registry],
  collect () { this.set([...lists.values()].reduce((sum, list) => sum + list.size, 0)) }
})

/** Sends each request once, on a connection of its own for the time of the exchange. */
export class ConnectionSender implements TargetSender {
  private readonly lists = new Map<string, ConnectionList>()
  private readonly opened: Counter | undefined

  private constructor (private readonly options: TargetSenderOptions) {
    if (options.registry === undefined) return
    this.opened = new Counter({
      name: 'lovagehoist_target_connections_opened_total',
      help: 'Connections opened to targets.',
      registers: [options.registry]
    })
    registerConnectionGauge(options.registry, this.lists)
  }

  /**
   * Creates a sender without connections.
   *
   * @param options - Clock and limits.
   * @returns The sender.
   */
  static create (options: TargetSenderOptions): ConnectionSender {
    return new ConnectionSender(options)
  }

  /**
   * Closes idle connections that are too old until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const [id, list] of this.lists) {
        list.sweep()
        if (list.size === 0) this.lists.delete(id)
      }
      await this.options.clock.sleepMs(SWEEP_MS, signal)
    }
  }

  readonly send = async (target: Target, request: TargetRequest, signal: AbortSignal): Promise<TargetResponse | TargetFailure> => {
    const list = this.listOf(target)
    const reused = list.take(request.isIdempotent)
    if (reused !== undefined) {
      const result = await this.exchange(list, reused, request, signal)
      if (result.type === 'answer' || !result.wasUnsent) return result
    }
    return await this.sendOnFresh(list, request, signal)
  }

  readonly warm = async (target: Target, connections: number): Promise<void> => {
    await this.listOf(target).warm(connections)
  }

  readonly closeIdleConnections = (targetId: string, olderThanMs: number): void => {
    this.lists.get(targetId)?.retire(olderThanMs)
  }

  /** Whether a connection to a target is idle that suits a request. */
  readonly hasIdle = (targetId: string, isIdempotent: boolean): boolean => this.lists.get(targetId)?.hasIdle(isIdempotent) ?? false

  /** Destroys all idle connections; those in use are not used again. */
  retireAll (): void {
    for (const list of this.lists.values()) list.retire(-1)
  }

  /** Destroys all connections. */
  close (): void {
    this.retireAll()
    this.lists.clear()
  }

  private async sendOnFresh (list: ConnectionList, request: TargetRequest, signal: AbortSignal): Promise<TargetResponse | TargetFailure> {
    const { clock } = this.options
    const startedAtMs = clock.monotonicMs()
    const opened = await list.open(signal)
    const spentMs = clock.monotonicMs() - startedAtMs
    if (opened.isErr()) {
      return { type: 'failure', verdict: 'not-run', ...opened.error, isFreshConnection: true, latencyMs: spentMs }
    }
    this.opened?.inc()
    return await this.exchange(list, opened.value, { ...request, headTimeoutMs: Math.max(0, request.headTimeoutMs - spentMs) }, signal)
  }

  private async exchange (list: ConnectionList, connection: Connection, request: TargetRequest, signal: AbortSignal): Promise<TargetResponse | ExchangeFailure> {
    const { clock, invariants } = this.options
    const sentBefore = connection.sentBytes
    const onEnd = (isWhole: boolean): void => { list.giveBack(connection, isWhole) }
    const result = await Exchange.create({ connection, request, clock, watch: list.watch(connection), onEnd }).run(signal)
    if (result.type === 'answer') return result
    const isUntouched = connection.sentBytes === sentBefore
    invariants?.check('not-run', result.verdict !== 'not-run' || isUntouched, { sentBytes: connection.sentBytes - sentBefore })
    this.judgeSilence(list, result.outcome, result)
    return result
  }

  private judgeSilence (list: ConnectionList, outcome: OutcomeKind, failure: ExchangeFailure): void {
    const isTimeout = outcome === 'timeout' || outcome === 'silent-connection'
    if (isTimeout && !failure.isFreshConnection) list.retire(failure.latencyMs)
  }

  private listOf (target: Target): ConnectionList {
    const known = this.lists.get(target.id)
    if (known !== undefined) return known
    const list = ConnectionList.create(target, this.options.clock, this.options.connectTimeoutMs(target.service))
    this.lists.set(target.id, list)
    return list
  }
}
