import { err } from 'neverthrow'
import { withTimeout } from '@lovagehoist/common'
import type { CancelTimer, Clock, Platform, PeerBus, PlatformResult } from '@lovagehoist/common'

/** Pauses one simulated process: its timers, responses and messages are delayed until it resumes. */
export class ProcessPause {
  private waiting: Array<() => void> = []
  private paused = false

  /** Whether the process is paused. */
  get isPaused (): boolean {
    return this.paused
  }

  setPaused (isPaused: boolean): void {
    this.paused = isPaused
    if (isPaused) return
    const due = this.waiting
    this.waiting = []
    for (const run of due) run()
  }

  /** Runs work immediately, or when the process resumes. */
  readonly runWhenResumed = (work: () => void): void => {
    if (this.paused) this.waiting.push(work)
    else work()
  }

  /** Resolves immediately, or when the process resumes. */
  readonly waitUntilResumed = async (): Promise<void> => {
    if (this.paused) await new Promise<void>(resolve => { this.waiting.push(resolve) })
  }
}

/** Clock of a pausable process: time advances during a pause, timers fire after it. */
export const pausableClock = (clock: Clock, pause: ProcessPause): Clock => {
  const after = (durationMs: number, run: () => void): CancelTimer => {
    let isCancelled = false
    const cancel = clock.after(durationMs, () => { pause.runWhenResumed(() => { if (!isCancelled) run() }) })
    return () => {
      isCancelled = true
      cancel()
    }
  }
  const sleepMs = async (durationMs: number, signal?: AbortSignal): Promise<void> => {
    await clock.sleepMs(durationMs, signal)
    await pause.waitUntilResumed()
  }
  return { monotonicMs: clock.monotonicMs, wallMs: clock.wallMs, after, sleepMs }
}

/** Platform of a pausable process: responses are delivered when it resumes. */
export const pausablePlatform = (platform: Platform, pause: ProcessPause): Platform => {
  const delayUntilResumed = async <T>(pendingResult: PlatformResult<T>): PlatformResult<T> => {
    const result = await pendingResult
    await pause.waitUntilResumed()
    return result
  }
  const { table, objects, directory } = platform
  return {
    table: {
      get: async (...args) => await delayUntilResumed(table.get(...args)),
      list: async (...args) => await delayUntilResumed(table.list(...args)),
      transact: async transaction => await delayUntilResumed(table.transact(transaction))
    },
    objects: { get: async key => await delayUntilResumed(objects.get(key)), put: async (key, body) => await delayUntilResumed(objects.put(key, body)) },
    directory: { list: async () => await delayUntilResumed(directory.list()) }
  }
}

/** Peer bus of a pausable process; calls to a paused process time out. */
export const pausableBus = (bus: PeerBus, clock: Clock, pause: ProcessPause): PeerBus => ({
  self: bus.self,
  members: bus.members,
  publish: bus.publish,
  entries: bus.entries,
  onEntry: (topic, listener) => bus.onEntry(topic, entry => { pause.runWhenResumed(() => { listener(entry) }) }),
  call: async (instanceId, method, params, timeoutMs) => {
    const timed = await withTimeout(clock, timeoutMs, bus.call(instanceId, method, params, timeoutMs))
    await pause.waitUntilResumed()
    return timed.type === 'done' ? timed.value : err({ kind: 'unreachable', message: `no answer within ${timeoutMs} ms` })
  },
  handle: (method, handler) => {
    bus.handle(method, async (params, from) => {
      await pause.waitUntilResumed()
      return await handler(params, from)
    })
  }
})
