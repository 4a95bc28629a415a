import type { GatewaySettings, Log } from '@lovagehoist/common'
import type { Result } from 'neverthrow'

/** Reads the settings again; the error says what is wrong with them. */
export type ReadSettings = () => Promise<Result<GatewaySettings, string>>

/** Fields whose changes apply at once; changes of the others need a restart. */
const RELOADABLE_FIELDS: ReadonlyArray<keyof GatewaySettings> = ['bounds', 'bootstrapHosts']

/** Settings that are reloaded while the daemon runs. */
export class LiveSettings {
  private startedReads = 0
  /** Number of the latest read whose settings are in force. */
  private appliedRead = 0

  private constructor (private settings: GatewaySettings, private readonly readSettings: ReadSettings, private readonly log: Log) {}

  /**
   * Creates reloadable settings.
   *
   * @param settings - Settings with which the daemon started.
   * @param readSettings - Reads the settings again.
   * @param log - Log for changes and errors.
   * @returns The settings.
   */
  static create (settings: GatewaySettings, readSettings: ReadSettings, log: Log): LiveSettings {
    return new LiveSettings(settings, readSettings, log)
  }

  /** Returns the settings in force: those of the start with the latest values of the reloadable fields. */
  readonly current = (): GatewaySettings => this.settings

  /**
   * Reads the settings again and applies the reloadable fields; invalid settings are ignored.
   *
   * @param cause - What triggered the reload, for the log.
   */
  async reload (cause: 'signal' | 'interval'): Promise<void> {
    const number = ++this.startedReads
    const read = await this.readSettings()
    // Reads may end in another order than they started; an earlier one may hold older settings.
    if (number < this.appliedRead) return
    if (read.isErr()) {
      this.log.error('invalid settings; the previous ones stay in force', { cause, error: read.error })
      return
    }
    this.appliedRead = number
    const next = read.value
    const changed = (Object.keys(next) as Array<keyof GatewaySettings>).filter(name => JSON.stringify(next[name]) !== JSON.stringify(this.settings[name]))
    const needRestart = changed.filter(name => !RELOADABLE_FIELDS.includes(name))
    if (changed.length > 0 || cause === 'signal') this.log.info('settings reloaded', { cause, changed, needRestart })
    this.settings = { ...this.settings, bounds: next.bounds, bootstrapHosts: next.bootstrapHosts }
  }
}
