import type { GatewaySettings, Log } from '@lovagehoist/common'
import type { Result } from 'neverthrow'

/** Reads the settings anew: the settings, or what is wrong with them. */
export type ReadSettings = () => Promise<Result<GatewaySettings, string>>

/** Fields that are in force at once; the others need a restart. */
const LIVE_FIELDS: ReadonlyArray<keyof GatewaySettings> = ['bounds', 'bootstrapHosts']

/** Settings that can change while the daemon runs. */
export class LiveSettings {
  private constructor (private settings: GatewaySettings, private readonly read: ReadSettings, private readonly log: Log) {}

  /**
   * Creates settings as they were at the start.
   *
   * @param settings - Settings of the start.
   * @param read - Reads them anew.
   * @param log - Where changes go.
   * @returns The settings.
   */
  static create (settings: GatewaySettings, read: ReadSettings, log: Log): LiveSettings {
    return new LiveSettings(settings, read, log)
  }

  /** Settings in force. */
  readonly current = (): GatewaySettings => this.settings

  /**
   * Reads the settings anew; wrong ones leave the last good ones in force.
   *
   * @param cause - Why they are read, for the log.
   */
  async reload (cause: 'signal' | 'interval'): Promise<void> {
    const read = await this.read()
    if (read.isErr()) {
      this.log.error('settings refused; the last good ones stay in force', { cause, error: read.error })
      return
    }
    const next = read.value
    const changed = (Object.keys(next) as Array<keyof GatewaySettings>).filter(name => JSON.stringify(next[name]) !== JSON.stringify(this.settings[name]))
    const needRestart = changed.filter(name => !LIVE_FIELDS.includes(name))
    if (changed.length > 0 || cause === 'signal') this.log.info('settings reloaded', { cause, changed, needRestart })
    this.settings = { ...this.settings, bounds: next.bounds, bootstrapHosts: next.bootstrapHosts }
  }
}
