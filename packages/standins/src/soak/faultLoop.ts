import type { Clock, Random } from '@lovagehoist/common'

/** Ends a fault. */
export type EndFault = () => Promise<void>

/** Starts a fault. */
export type StartFault<World> = (world: World) => Promise<EndFault>

/** What a loop of faults needs. */
export interface FaultLoopOptions<World> {
  readonly world: World
  readonly faults: Readonly<Record<string, StartFault<World>>>
  readonly clock: Clock
  readonly random: Random
  readonly progress: (line: string) => void
}

const MIN_PAUSE_MS = 500
const PAUSE_SPREAD_MS = 2_500
const MIN_FAULT_MS = 1_500
const FAULT_SPREAD_MS = 6_000
const MAX_TOGETHER = 3

/** Begins and ends faults until the time is over. */
export class FaultLoop<World> {
  readonly trace: string[] = []
  readonly counts: Record<string, number> = {}
  private readonly running = new Set<Promise<void>>()

  private constructor (private readonly options: FaultLoopOptions<World>) {}

  /**
   * Creates a loop that has begun no fault.
   *
   * @param options - World and faults.
   * @returns The loop.
   */
  static create<World> (options: FaultLoopOptions<World>): FaultLoop<World> {
    return new FaultLoop(options)
  }

  /**
   * Begins faults, some together, until told to stop; then ends all of them.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options
    while (!signal.aborted) {
      await clock.sleepMs(MIN_PAUSE_MS + random.int(PAUSE_SPREAD_MS), signal)
      const together = 1 + random.int(MAX_TOGETHER)
      for (let index = 0; index < together && !signal.aborted; index++) this.begin(signal)
    }
    await Promise.all(this.running)
  }

  private begin (signal: AbortSignal): void {
    const names = Object.keys(this.options.faults)
    const name = names[this.options.random.int(names.length)] ?? ''
    this.counts[name] = (this.counts[name] ?? 0) + 1
    const task = this.one(name, signal).catch((error: unknown) => { this.note(`${name} could not be made: ${String(error)}`) })
    this.running.add(task)
    task.finally(() => { this.running.delete(task) }).catch(() => {})
  }

  private async one (name: string, signal: AbortSignal): Promise<void> {
    const { clock, random, faults, world } = this.options
    // Drawn before anything is waited for: the order of draws is that of the seed.
    const durationMs = MIN_FAULT_MS + random.int(FAULT_SPREAD_MS)
    this.note(`begin ${name}`)
    const end = await faults[name]?.(world)
    await clock.sleepMs(durationMs, signal)
    await end?.()
    this.note(`end ${name}`)
  }

  private note (line: string): void {
    this.trace.push(`${Math.round(this.options.clock.monotonicMs())} ms ${line}`)
    this.options.progress(line)
  }
}
