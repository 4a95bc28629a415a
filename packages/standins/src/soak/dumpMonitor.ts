import type { JsonValue } from '@lovagehoist/common'
import type { Fleet } from '../measure/fleet.js'

/** Breaches found in the dumps of a run. */
export interface DumpFindings {
  readonly versionRegressions: number
  readonly invariantBreaches: readonly JsonValue[]
}

interface ConfigDump {
  readonly version: number
}

/** Collects configuration version regressions and invariant breaches from the daemons' dumps. */
export class DumpMonitor {
  private readonly lastVersions = new Map<string, number>()
  private readonly breaches = new Map<string, JsonValue>()
  private regressions = 0

  private constructor (private readonly fleet: Fleet) {}

  /**
   * Creates a monitor that has not read any dump.
   *
   * @param fleet - Running fleet.
   * @returns The monitor.
   */
  static create (fleet: Fleet): DumpMonitor {
    return new DumpMonitor(fleet)
  }

  /** Reads the dump of every running daemon; those that do not answer are skipped. */
  async poll (isRunning: (id: string) => boolean): Promise<void> {
    const daemons = this.fleet.daemons.filter(daemon => isRunning(daemon.id))
    await Promise.all(daemons.map(async daemon => {
      const dump = await this.fleet.dump(daemon).catch(() => undefined)
      if (dump !== undefined) this.inspect(daemon.id, dump)
    }))
  }

  /** Breaches found so far. */
  findings (): DumpFindings {
    return { versionRegressions: this.regressions, invariantBreaches: [...this.breaches.values()] }
  }

  private inspect (id: string, dump: Readonly<Record<string, JsonValue>>): void {
    const version = (dump.config as unknown as ConfigDump | undefined)?.version ?? 0
    if (version < (this.lastVersions.get(id) ?? 0)) this.regressions++
    this.lastVersions.set(id, version)
    for (const breach of (dump.breaches ?? []) as readonly JsonValue[]) this.breaches.set(`${id} ${JSON.stringify(breach)}`, { instance: id, breach })
  }
}
