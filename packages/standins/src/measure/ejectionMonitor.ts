import type { Clock } from '@lovagehoist/common'
import type { Fleet } from './fleet.js'

/** Targets that daemons have ejected at one time. */
export interface EjectionSample {
  readonly atMs: number
  /** Targets that at least one daemon has ejected. */
  readonly ejected: ReadonlySet<string>
  /** Number of daemons that have ejected a target, by target. */
  readonly daemonCountByTarget: ReadonlyMap<string, number>
}

interface DumpedTarget {
  readonly targetId: string
  readonly status: string
}

const SAMPLE_INTERVAL_MS = 500

const ejectedTargetIds = (dump: Readonly<Record<string, unknown>>): readonly string[] => {
  const { targets = [] } = (dump.health ?? {}) as { readonly targets?: readonly DumpedTarget[] }
  return targets.filter(({ status }) => status === 'ejected').map(({ targetId }) => targetId)
}

/** Samples the ejected targets of all daemons while a measurement runs. */
export class EjectionMonitor {
  readonly samples: EjectionSample[] = []
  private readonly stopping = new AbortController()
  private running: Promise<void> = Promise.resolve()

  private constructor (private readonly fleet: Fleet, private readonly clock: Clock) {}

  /**
   * Starts sampling.
   *
   * @param fleet - Running fleet.
   */
  static create (fleet: Fleet): EjectionMonitor {
    const monitor = new EjectionMonitor(fleet, fleet.clock)
    monitor.running = monitor.run()
    return monitor
  }

  /** Stops sampling. */
  async stop (): Promise<void> {
    this.stopping.abort()
    await this.running
  }

  /** Number of samples in which the targets left in service had fewer slots than the floor. */
  countFloorBreaches (targets: number, slotsPerTarget: number, floorSlots: number): number {
    return this.samples.filter(({ ejected }) => (targets - ejected.size) * slotsPerTarget < floorSlots).length
  }

  /**
   * Counts ejections of healthy targets.
   *
   * @param isFaulty - Whether a target was faulty at a time or shortly before.
   * @returns The number of times that a target became ejected while healthy.
   */
  countFalseEjections (isFaulty: (targetId: string, atMs: number) => boolean): number {
    let previous: ReadonlySet<string> = new Set()
    let count = 0
    for (const { atMs, ejected } of this.samples) {
      for (const targetId of ejected) if (!previous.has(targetId) && !isFaulty(targetId, atMs)) count++
      previous = ejected
    }
    return count
  }

  /** Largest share of daemons that had ejected a target at the same time within a period, 0 to 1. */
  peakEjectingShare (targetId: string, fromMs: number, toMs: number): number {
    const within = this.samples.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
    return Math.max(0, ...within.map(sample => sample.daemonCountByTarget.get(targetId) ?? 0)) / this.fleet.daemons.length
  }

  /** Time in milliseconds from `fromMs` to the first sample that shows a target as ejected; null when there is none before `toMs`. */
  ejectedAfterMs (targetId: string, fromMs: number, toMs: number): number | null {
    const first = this.samples.find(({ atMs, ejected }) => atMs >= fromMs && atMs < toMs && ejected.has(targetId))
    return first === undefined ? null : first.atMs - fromMs
  }

  private async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.takeSample()
      await this.clock.sleepMs(SAMPLE_INTERVAL_MS, this.stopping.signal)
    }
  }

  private async takeSample (): Promise<void> {
    const dumps = await Promise.all(this.fleet.daemons.map(async daemon => await this.fleet.dump(daemon).catch(() => ({}))))
    const daemonCountByTarget = new Map<string, number>()
    for (const targetId of dumps.flatMap(ejectedTargetIds)) daemonCountByTarget.set(targetId, (daemonCountByTarget.get(targetId) ?? 0) + 1)
    this.samples.push({ atMs: this.clock.wallMs(), ejected: new Set(daemonCountByTarget.keys()), daemonCountByTarget })
  }
}
