import type { Clock, Random } from '@lovagehoist/common'

/** Ends a fault. */
export type EndFault = () => Promise<void>

/** Starts a fault; returns the function that ends it. */
export type StartFault<Context> = (context: Context) => Promise<EndFault>

/** Dependencies of a fault loop. */
export interface FaultLoopOptions<Context> {
  readonly context: Context
  readonly faults: Readonly<Record<string, StartFault<Context>>>
  readonly clock: Clock
  readonly random: Random
  readonly progress: (line: string) => void
}

const MIN_PAUSE_MS = 500
const PAUSE_JITTER_MS = 2_500
const MIN_FAULT_MS = 1_500
const FAULT_JITTER_MS = 6_000
const MAX_FAULTS_PER_ROUND = 3

/** Starts and ends random faults, several of them concurrently, until stopped. */
export class FaultLoop<Context> {
  readonly trace: string[] = []
  readonly counts: Record<string, number> = {}
  private readonly running = new Set<Promise<void>>()

  private constructor (private readonly options: FaultLoopOptions<Context>) {}

  /**
   * Creates a loop that has not started any fault.
   *
   * @param options - Faults and what they act on.
   * @returns The loop.
   */
  static create<Context> (options: FaultLoopOptions<Context>): FaultLoop<Context> {
    return new FaultLoop(options)
  }

  /**
   * Starts faults until stopped, then waits until all of them have ended.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options
    while (!signal.aborted) {
      await clock.sleepMs(MIN_PAUSE_MS + random.int(PAUSE_JITTER_MS), signal)
      const faultCount = 1 + random.int(MAX_FAULTS_PER_ROUND)
      for (let index = 0; index < faultCount && !signal.aborted; index++) this.startRandomFault(signal)
    }
    await Promise.all(this.running)
  }

  private startRandomFault (signal: AbortSignal): void {
    const names = Object.keys(this.options.faults)
    const name = names[this.options.random.int(names.length)] ?? ''
    this.counts[name] = (this.counts[name] ?? 0) + 1
    const task = this.runFault(name, signal).catch((error: unknown) => { this.record(`${name} could not be started or ended: ${String(error)}`) })
    this.running.add(task)
    task.finally(() => { this.running.delete(task) }).catch(() => {})
  }

  private async runFault (name: string, signal: AbortSignal): Promise<void> {
    const { clock, random, faults, context } = this.options
    // Drawn before the first await: otherwise the order of draws would depend on timing, not only on the seed.
    const durationMs = MIN_FAULT_MS + random.int(FAULT_JITTER_MS)
    this.record(`begin ${name}`)
    const endFault = await faults[name]?.(context)
    await clock.sleepMs(durationMs, signal)
    await endFault?.()
    this.record(`end ${name}`)
  }

  private record (line: string): void {
    this.trace.push(`${Math.round(this.options.clock.monotonicMs())} ms ${line}`)
    this.options.progress(line)
  }
}
