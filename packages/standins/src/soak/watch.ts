import type { JsonValue } from '@lovagehoist/common'
import type { Fleet } from '../measure/fleet.js'

/** What dumps showed over the run. */
export interface Watched {
  readonly versionRegressions: number
  readonly invariantBreaches: readonly JsonValue[]
}

interface ConfigDump {
  readonly version: number
}

/** Reads the dumps of all daemons again and again and keeps what must not happen. */
export class DumpWatch {
  private readonly versions = new Map<string, number>()
  private readonly breaches = new Map<string, JsonValue>()
  private regressions = 0

  private constructor (private readonly fleet: Fleet) {}

  /**
   * Creates a watch that has seen nothing.
   *
   * @param fleet - Running fleet.
   * @returns The watch.
   */
  static create (fleet: Fleet): DumpWatch {
    return new DumpWatch(fleet)
  }

  /** Reads the dump of every daemon that answers. */
  async look (isRunning: (id: string) => boolean): Promise<void> {
    const daemons = this.fleet.daemons.filter(daemon => isRunning(daemon.id))
    await Promise.all(daemons.map(async daemon => {
      const dump = await this.fleet.dump(daemon).catch(() => undefined)
      if (dump !== undefined) this.take(daemon.id, dump)
    }))
  }

  /** What was seen so far. */
  result (): Watched {
    return { versionRegressions: this.regressions, invariantBreaches: [...this.breaches.values()] }
  }

  private take (id: string, dump: Readonly<Record<string, JsonValue>>): void {
    const version = (dump.config as unknown as ConfigDump | undefined)?.version ?? 0
    if (version < (this.versions.get(id) ?? 0)) this.regressions++
    this.versions.set(id, version)
    for (const breach of (dump.breaches ?? []) as readonly JsonValue[]) this.breaches.set(`${id} ${JSON.stringify(breach)}`, { instance: id, breach })
  }
}
