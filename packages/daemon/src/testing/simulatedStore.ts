import { err, ok } from 'neverthrow'
import type { Clock, ConfigSnapshot, ConfigWatchResult, GatewayStore, InstanceRecord, ListedTarget, PlatformError, PlatformResult } from '@lovagehoist/common'

/** How the store treats a machine: it responds, turns it away, resets its connections or leaves them without an answer. */
export type SimulatedStoreFault = 'none' | 'refused' | 'reset' | 'silent'

/** What a call to the store asks for. */
export type SimulatedStoreCallKind = 'listing' | 'configuration' | 'configuration watch' | 'configuration check' | 'instances' | 'registration'

/** A call that arrived at the store, or was turned away by it; each is billed. */
export interface SimulatedStoreCall {
  readonly kind: SimulatedStoreCallKind
  readonly instanceId: string
  readonly atMs: number
  isFailed: boolean
}

interface OpenWatch {
  readonly instanceId: string
  readonly end: (result: 'changed' | 'reset') => void
}

const RESPONSE_MS = 4
const RESET_MS = 1
/** Timeouts of the store's client. */
const CALL_TIMEOUT_MS = 1_200
const WATCH_TIMEOUT_MARGIN_MS = 2_000
/** Watches that wait no longer than this check another one. */
const MAX_CHECK_WAIT_MS = 10
/** Rows of targets are written again all the time, since they expire otherwise. */
const VERSIONS_PER_MS = 0.02

const unavailable = (message: string): PlatformError => ({ kind: 'unavailable', message })

/** Platform store in virtual time: configuration, targets and instances, faults by machine and a record of all calls. */
export class SimulatedStore {
  readonly calls: SimulatedStoreCall[] = []
  private readonly targets = new Map<string, ListedTarget>()
  private readonly instances = new Map<string, InstanceRecord>()
  private readonly watches = new Set<OpenWatch>()
  private configVersion = 0
  private configStoreVersion = 0
  private changes = 0

  private constructor (private readonly clock: Clock, private readonly faultOf: (instanceId: string) => SimulatedStoreFault) {}

  /** Creates an empty store. */
  static create (clock: Clock, faultOf: (instanceId: string) => SimulatedStoreFault): SimulatedStore {
    return new SimulatedStore(clock, faultOf)
  }

  /** Accepts the next configuration and returns its version. */
  acceptConfig (): number {
    this.changes++
    this.configVersion++
    this.configStoreVersion = this.version
    for (const watch of [...this.watches]) watch.end('changed')
    return this.configVersion
  }

  /** Writes the row of a target. */
  putTarget (target: ListedTarget): void {
    this.changes++
    this.targets.set(target.id, target)
  }

  /** Resets the open watches of machines whose connections the store resets now. */
  applyFaults (): void {
    for (const watch of [...this.watches]) if (this.faultOf(watch.instanceId) === 'reset') watch.end('reset')
  }

  /** Drops the open watches of a process that has ended. */
  dropWatches (instanceId: string): void {
    for (const watch of this.watches) if (watch.instanceId === instanceId) this.watches.delete(watch)
  }

  /** Creates the client of one machine. */
  client (instanceId: string): GatewayStore {
    return {
      readTargets: async () => await this.call('listing', instanceId, () => ({ storeVersion: this.version, targets: [...this.targets.values()], skipped: [] })),
      readConfig: async () => await this.call('configuration', instanceId, () => this.snapshot()),
      watchConfig: async (afterStoreVersion, waitMs, signal) => await this.watch(instanceId, afterStoreVersion, waitMs, signal),
      readInstances: async () => await this.call('instances', instanceId, () => [...this.instances.values()]),
      putInstances: async instances => await this.call('registration', instanceId, () => { for (const record of instances) this.instances.set(record.instanceId, record) }),
      decodeConfig: text => this.snapshot(Number(text)),
      close: async () => {}
    }
  }

  private get version (): number {
    return Math.floor(this.clock.monotonicMs() * VERSIONS_PER_MS) + this.changes
  }

  private snapshot (version = this.configVersion): ConfigSnapshot {
    return {
      storeVersion: this.version,
      config: { version, routes: [], services: [], limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 }, accounts: undefined },
      text: String(version),
      error: undefined
    }
  }

  private record (kind: SimulatedStoreCallKind, instanceId: string): SimulatedStoreCall {
    const call = { kind, instanceId, atMs: this.clock.monotonicMs(), isFailed: false }
    this.calls.push(call)
    return call
  }

  private async call <T>(kind: SimulatedStoreCallKind, instanceId: string, respond: () => T): PlatformResult<T> {
    const call = this.record(kind, instanceId)
    const fault = this.faultOf(instanceId)
    await this.clock.sleepMs({ none: RESPONSE_MS, refused: RESPONSE_MS, reset: RESET_MS, silent: CALL_TIMEOUT_MS }[fault])
    if (fault === 'none') return ok(respond())
    call.isFailed = true
    return err(unavailable(fault))
  }

  private async watch (instanceId: string, afterStoreVersion: number, waitMs: number, signal: AbortSignal): PlatformResult<ConfigWatchResult> {
    const fault = this.faultOf(instanceId)
    const kind = waitMs <= MAX_CHECK_WAIT_MS ? 'configuration check' : 'configuration watch'
    if (fault === 'refused' || fault === 'reset') return await this.call<ConfigWatchResult>(kind, instanceId, () => ({ type: 'history-lost' }))
    const call = this.record(kind, instanceId)
    const isChanged = fault === 'none' && this.configStoreVersion > afterStoreVersion
    const result = isChanged ? 'changed' : await this.waitForChange(instanceId, waitMs, signal)
    if (result === 'changed') {
      await this.clock.sleepMs(RESPONSE_MS)
      return ok({ type: 'reading', snapshot: this.snapshot() })
    }
    if (result === 'unchanged') return ok({ type: 'unchanged', storeVersion: this.version })
    call.isFailed = result !== 'cancelled'
    return err(unavailable(result))
  }

  private async waitForChange (instanceId: string, waitMs: number, signal: AbortSignal): Promise<'changed' | 'reset' | 'unchanged' | 'silent' | 'cancelled'> {
    return await new Promise(resolve => {
      const finish = (result: 'changed' | 'reset' | 'unchanged' | 'silent' | 'cancelled'): void => {
        this.watches.delete(watch)
        for (const cancel of cancels) cancel()
        resolve(result)
      }
      const watch: OpenWatch = {
        instanceId,
        end: result => { if (result === 'reset' || this.faultOf(instanceId) === 'none') finish(result) }
      }
      this.watches.add(watch)
      const cancels = [
        this.clock.after(waitMs, () => { if (this.faultOf(instanceId) !== 'silent') finish('unchanged') }),
        this.clock.after(waitMs + WATCH_TIMEOUT_MARGIN_MS, () => { finish('silent') })
      ]
      signal.addEventListener('abort', () => { finish('cancelled') }, { once: true })
    })
  }
}
