import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock, Invariants, OutcomeKind, Target, TargetResponse, TargetFailure, TargetRequest, TargetSender } from '@lovagehoist/common'
import type { Connection, OpenSocket } from './connection.js'
import { ConnectionPool } from './connectionPool.js'
import { Exchange } from './exchange.js'
import type { ExchangeFailure } from './exchange.js'

/** Dependencies of the sender. */
export interface TargetSenderOptions {
  readonly clock: Clock
  /** Connect timeout for the targets of a service. */
  readonly connectTimeoutMs: (service: string) => number
  /** Starts to connect a socket; a TCP connection by default. */
  readonly openSocket?: OpenSocket
  /** Called with whether a connection for a request was opened. */
  readonly onConnect?: (targetId: string, isOpened: boolean) => void
  /** Called when the head of an answer has arrived. */
  readonly onAnswer?: () => void
  readonly registry?: Registry
  readonly invariants?: Invariants
}

/** Interval between sweeps of idle connections. */
const SWEEP_MS = 5_000

const registerConnectionGauge = (registry: Registry, pools: ReadonlyMap<string, ConnectionPool>): Gauge => new Gauge({
  name: 'lovagehoist_target_connections',
  help: 'Connections to targets that are open.',
  registers: [registry],
  collect () { this.set([...pools.values()].reduce((sum, pool) => sum + pool.size, 0)) }
})

/** Sends each request once, on a connection reserved for the exchange. */
export class ConnectionSender implements TargetSender {
  private readonly pools = new Map<string, ConnectionPool>()
  private readonly openedCounter: Counter | undefined

  private constructor (private readonly options: TargetSenderOptions) {
    if (options.registry === undefined) return
    this.openedCounter = new Counter({
      name: 'lovagehoist_target_connections_opened_total',
      help: 'Connections opened to targets.',
      registers: [options.registry]
    })
    registerConnectionGauge(options.registry, this.pools)
  }

  /**
   * Creates a sender without connections.
   *
   * @param options - Clock, timeouts and metrics registry.
   * @returns The sender.
   */
  static create (options: TargetSenderOptions): ConnectionSender {
    return new ConnectionSender(options)
  }

  /**
   * Closes expired idle connections periodically until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const [id, pool] of this.pools) {
        pool.sweep()
        if (pool.size === 0) this.pools.delete(id)
      }
      await this.options.clock.sleepMs(SWEEP_MS, signal)
    }
  }

  readonly send = async (target: Target, request: TargetRequest, signal: AbortSignal): Promise<TargetResponse | TargetFailure> => {
    const pool = this.poolOf(target)
    const reused = pool.acquire(request.isIdempotent, request.id)
    if (reused !== undefined) {
      const result = await this.exchange(pool, reused, request, signal)
      if (result.type === 'answer' || !result.wasUnsent) return result
    }
    return await this.sendOnNewConnection(pool, request, signal)
  }

  readonly warm = async (target: Target, connections: number): Promise<void> => {
    await this.poolOf(target).openUpTo(connections)
  }

  /** Opens a connection for later use; returns whether that succeeded. */
  readonly openIdle = async (target: Target): Promise<boolean> => {
    const isOpened = await this.poolOf(target).openIdle()
    if (isOpened) this.openedCounter?.inc()
    return isOpened
  }

  /** Opens a connection to a target and closes it again; returns whether that succeeded. */
  readonly canConnect = async (target: Target): Promise<boolean> => {
    const pool = this.poolOf(target)
    const opened = await pool.open(new AbortController().signal)
    if (opened.isErr()) return false
    this.openedCounter?.inc()
    pool.release(opened.value, false)
    return true
  }

  readonly closeIdleConnections = (targetId: string, olderThanMs: number): void => {
    this.pools.get(targetId)?.closeOlderThan(olderThanMs)
  }

  /** Whether an idle connection to a target exists that suits a request. */
  readonly hasIdle = (targetId: string, isIdempotent: boolean): boolean => this.pools.get(targetId)?.hasIdle(isIdempotent) ?? false

  /** Closes all idle connections and prevents the reuse of those in use. */
  closeAllIdle (): void {
    for (const pool of this.pools.values()) pool.closeOlderThan(-1)
  }

  /** Closes all idle connections and forgets those in use. */
  close (): void {
    this.closeAllIdle()
    this.pools.clear()
  }

  private async sendOnNewConnection (pool: ConnectionPool, request: TargetRequest, signal: AbortSignal): Promise<TargetResponse | TargetFailure> {
    const { clock } = this.options
    const startedAtMs = clock.monotonicMs()
    const opened = await pool.open(signal)
    const spentMs = clock.monotonicMs() - startedAtMs
    if (opened.isOk() || opened.error.outcome === 'refused') this.options.onConnect?.(pool.targetId, opened.isOk())
    if (opened.isErr()) {
      return { type: 'failure', verdict: 'not-run', ...opened.error, isFreshConnection: true, latencyMs: spentMs }
    }
    this.openedCounter?.inc()
    if (request.isStillWanted?.() === false) {
      pool.release(opened.value, false)
      return { type: 'failure', verdict: 'not-run', outcome: 'withdrawn', message: 'the target became unusable while the connection was opened', isFreshConnection: true, latencyMs: spentMs }
    }
    return await this.exchange(pool, opened.value, { ...request, headTimeoutMs: Math.max(0, request.headTimeoutMs - spentMs) }, signal)
  }

  private async exchange (pool: ConnectionPool, connection: Connection, request: TargetRequest, signal: AbortSignal): Promise<TargetResponse | ExchangeFailure> {
    const { clock, invariants } = this.options
    const sentBefore = connection.sentBytes
    const onEnd = (isComplete: boolean): void => { pool.release(connection, isComplete) }
    const result = await Exchange.create({ connection, request, clock, monitor: pool.monitor(connection), onEnd }).run(signal)
    if (result.type === 'answer') {
      this.options.onAnswer?.()
      return result
    }
    const hasSentNothing = connection.sentBytes === sentBefore
    invariants?.check('not-run', result.verdict !== 'not-run' || hasSentNothing, { sentBytes: connection.sentBytes - sentBefore })
    this.closeOlderAfterTimeout(pool, result.outcome, result)
    return result
  }

  private closeOlderAfterTimeout (pool: ConnectionPool, outcome: OutcomeKind, failure: ExchangeFailure): void {
    const isTimeout = outcome === 'timeout' || outcome === 'silent-connection'
    if (isTimeout && !failure.isFreshConnection) pool.closeOlderThan(failure.latencyMs)
  }

  private poolOf (target: Target): ConnectionPool {
    const known = this.pools.get(target.id)
    if (known?.leadsTo(target) === true) return known
    known?.closeOlderThan(-1)
    const pool = ConnectionPool.create(target, this.options.clock, this.options.connectTimeoutMs(target.service), this.options.openSocket)
    this.pools.set(target.id, pool)
    return pool
  }
}
