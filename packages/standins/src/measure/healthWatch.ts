import type { Clock } from '@lovagehoist/common'
import type { Fleet } from './fleet.js'

/** Targets that daemons kept out at one moment. */
export interface HealthSample {
  readonly atMs: number
  /** Targets without work by ejection, in the view of at least one daemon. */
  readonly out: ReadonlySet<string>
  /** Largest number of daemons that keep the same target out, by target. */
  readonly daemonsByTarget: ReadonlyMap<string, number>
}

interface DumpedTarget {
  readonly targetId: string
  readonly status: string
}

const SAMPLE_MS = 500

const ejectedOf = (dump: Readonly<Record<string, unknown>>): readonly string[] => {
  const { targets = [] } = (dump.health ?? {}) as { readonly targets?: readonly DumpedTarget[] }
  return targets.filter(({ status }) => status === 'ejected').map(({ targetId }) => targetId)
}

/** Looks at what all daemons keep out while a measurement runs. */
export class HealthWatch {
  readonly samples: HealthSample[] = []
  private readonly stopping = new AbortController()
  private running: Promise<void> = Promise.resolve()

  private constructor (private readonly fleet: Fleet, private readonly clock: Clock) {}

  /**
   * Starts to look.
   *
   * @param fleet - Running fleet.
   * @returns The watch.
   */
  static create (fleet: Fleet): HealthWatch {
    const watch = new HealthWatch(fleet, fleet.clock)
    watch.running = watch.run()
    return watch
  }

  /** Ends the watch. */
  async stop (): Promise<void> {
    this.stopping.abort()
    await this.running
  }

  /** Samples in which fewer slots than the floor were left. */
  floorBreaches (targets: number, slotsPerTarget: number, floorSlots: number): number {
    return this.samples.filter(({ out }) => (targets - out.size) * slotsPerTarget < floorSlots).length
  }

  /**
   * Counts healthy targets that were taken out.
   *
   * @param isSick - Whether a target was sick at a time or shortly before.
   * @returns The number of times that a target came to be out while healthy.
   */
  falseEjections (isSick: (targetId: string, atMs: number) => boolean): number {
    let before: ReadonlySet<string> = new Set()
    let count = 0
    for (const { atMs, out } of this.samples) {
      for (const targetId of out) if (!before.has(targetId) && !isSick(targetId, atMs)) count++
      before = out
    }
    return count
  }

  /** Largest share of daemons that kept a target out at one moment within a time, 0 to 1. */
  agreedShare (targetId: string, fromMs: number, toMs: number): number {
    const within = this.samples.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
    return Math.max(0, ...within.map(sample => sample.daemonsByTarget.get(targetId) ?? 0)) / this.fleet.daemons.length
  }

  /** Time from a moment until the first sample in which a target was out; null when there is none before another moment. */
  outAfterMs (targetId: string, fromMs: number, toMs: number): number | null {
    const first = this.samples.find(({ atMs, out }) => atMs >= fromMs && atMs < toMs && out.has(targetId))
    return first === undefined ? null : first.atMs - fromMs
  }

  private async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.sample()
      await this.clock.sleepMs(SAMPLE_MS, this.stopping.signal)
    }
  }

  private async sample (): Promise<void> {
    const dumps = await Promise.all(this.fleet.daemons.map(async daemon => await this.fleet.dump(daemon).catch(() => ({}))))
    const daemonsByTarget = new Map<string, number>()
    for (const targetId of dumps.flatMap(ejectedOf)) daemonsByTarget.set(targetId, (daemonsByTarget.get(targetId) ?? 0) + 1)
    this.samples.push({ atMs: this.clock.wallMs(), out: new Set(daemonsByTarget.keys()), daemonsByTarget })
  }
}
