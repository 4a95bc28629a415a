import { err } from 'neverthrow'
import { withTimeout } from '@lovagehoist/common'
import type { CancelTimer, Clock, Platform, PeerBus, PlatformResult } from '@lovagehoist/common'

/** Stops one simulated process: its timers, answers and messages wait until it goes on. */
export class Pause {
  private waiting: Array<() => void> = []
  private isPaused = false

  /** Whether the process stands still. */
  get isOn (): boolean {
    return this.isPaused
  }

  set (isPaused: boolean): void {
    this.isPaused = isPaused
    if (isPaused) return
    const due = this.waiting
    this.waiting = []
    for (const run of due) run()
  }

  /** Runs at once, or when the process goes on. */
  readonly run = (work: () => void): void => {
    if (this.isPaused) this.waiting.push(work)
    else work()
  }

  readonly gate = async (): Promise<void> => {
    if (this.isPaused) await new Promise<void>(resolve => { this.waiting.push(resolve) })
  }
}

/** Clock of a process that can be paused: time goes on, timers fire late. */
export const pausableClock = (clock: Clock, pause: Pause): Clock => {
  const after = (durationMs: number, run: () => void): CancelTimer => {
    let isCancelled = false
    const cancel = clock.after(durationMs, () => { pause.run(() => { if (!isCancelled) run() }) })
    return () => {
      isCancelled = true
      cancel()
    }
  }
  const sleepMs = async (durationMs: number, signal?: AbortSignal): Promise<void> => {
    await clock.sleepMs(durationMs, signal)
    await pause.gate()
  }
  return { monotonicMs: clock.monotonicMs, wallMs: clock.wallMs, after, sleepMs }
}

/** Platform whose answers reach a paused process when it goes on. */
export const pausablePlatform = (platform: Platform, pause: Pause): Platform => {
  const late = async <T>(answer: PlatformResult<T>): PlatformResult<T> => {
    const got = await answer
    await pause.gate()
    return got
  }
  const { table, objects, directory } = platform
  return {
    table: {
      get: async (...args) => await late(table.get(...args)),
      list: async (...args) => await late(table.list(...args)),
      transact: async transaction => await late(table.transact(transaction))
    },
    objects: { get: async key => await late(objects.get(key)), put: async (key, body) => await late(objects.put(key, body)) },
    directory: { list: async () => await late(directory.list()) }
  }
}

/** Bus of a process that can be paused; calls to a paused process time out. */
export const pausableBus = (bus: PeerBus, clock: Clock, pause: Pause): PeerBus => ({
  self: bus.self,
  members: bus.members,
  publish: bus.publish,
  entries: bus.entries,
  onEntry: (topic, listener) => bus.onEntry(topic, entry => { pause.run(() => { listener(entry) }) }),
  call: async (instanceId, method, params, timeoutMs) => {
    const timed = await withTimeout(clock, timeoutMs, bus.call(instanceId, method, params, timeoutMs))
    await pause.gate()
    return timed.type === 'done' ? timed.value : err({ kind: 'unreachable', message: `no answer within ${timeoutMs} ms` })
  },
  handle: (method, handler) => {
    bus.handle(method, async (params, from) => {
      await pause.gate()
      return await handler(params, from)
    })
  }
})
