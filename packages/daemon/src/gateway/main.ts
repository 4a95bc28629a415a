import { randomBytes, randomInt } from 'node:crypto'
import { write } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { uptime } from 'node:os'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LineSink, SeededRandom, SystemClock, addressWaitMs, createLog, untilAddressFree } from '@lovagehoist/common'
import type { Clock, GatewaySettings, Log, LogFields } from '@lovagehoist/common'
import { openDatagrams } from '@lovagehoist/peers'
import { PLATFORM_HEADERS, READINESS_PATH, RowStore, SETTINGS_VARIABLE, decodeSettings } from '@lovagehoist/platform'
import type { EarlySignals } from './earlySignals.js'
import { GatewayDaemon } from './gatewayDaemon.js'
import { LiveSettings } from './liveSettings.js'
import type { ReadSettings } from './liveSettings.js'
import { SystemProcessProbe } from './processProbe.js'

const EXIT_OK = 0
const EXIT_BAD_INPUT = 2
const ID_BYTES = 16
const SEED_LIMIT = 0x7fffffff
const STDOUT = 1
const MS_PER_SECOND = 1_000
/** Allows about ten lines per request at the load of one instance; writing more would cost more than the lines explain. */
const MAX_LOG_LINES_PER_SECOND = 200
/** A file that is being written is complete within this time; an operator who starts the daemon with wrong settings waits as long for the error. */
const MAX_SETTINGS_WAIT_MS = 3_000
const SETTINGS_RETRY_MS = 50
/** Port at which metrics are served, as in the deployment file. */
const METRICS_PORT = 9464

const reportBadInput = (message: string): void => {
  process.stderr.write(`${message}\n`)
  process.exitCode = EXIT_BAD_INPUT
}

/** Reads the settings, again and again for a while: the platform may still be writing the file. */
const readWholeSettings = async (readSettings: ReadSettings, clock: Clock, stopSignal: AbortSignal): Promise<Result<GatewaySettings, string>> => {
  const giveUpAtMs = clock.monotonicMs() + MAX_SETTINGS_WAIT_MS
  for (;;) {
    const settings = await readSettings()
    if (settings.isOk() || stopSignal.aborted || clock.monotonicMs() >= giveUpAtMs) return settings
    await clock.sleepMs(SETTINGS_RETRY_MS, stopSignal)
  }
}

/** Last resort: what one request or message broke must not end all others. */
const logUnexpectedErrors = (log: Log): void => {
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, (error: unknown) => { log.error('unexpected error', { event, error: error instanceof Error ? error.stack : String(error) }) })
  }
}

/** What the start of a daemon depends on. */
interface StartOptions {
  readonly settings: GatewaySettings
  readonly readSettings: ReadSettings
  readonly clock: Clock
  readonly log: Log
  readonly stopSignal: AbortSignal
  readonly signals: EarlySignals
}

/** Starts a daemon once its addresses are free; undefined when the process is stopped before. */
const startDaemon = async ({ settings, readSettings, clock, log, stopSignal, signals }: StartOptions): Promise<GatewayDaemon | undefined> => {
  const random = { ...SeededRandom.create(randomInt(SEED_LIMIT)), id: () => randomBytes(ID_BYTES).toString('hex') }
  const datagrams = await untilAddressFree(async () => await openDatagrams(settings.peers, log.child('peers')), { clock, log, stopSignal, maxWaitMs: addressWaitMs(settings.bounds.graceMs) })
  if (datagrams === undefined) return undefined
  const store = RowStore.create(settings.store, clock)
  const liveSettings = LiveSettings.create(settings, readSettings, log.child('settings'))
  const daemon = await GatewayDaemon.create(
    { settings, liveSettings, uptimeMs: () => uptime() * MS_PER_SECOND, clock, random, log, store, headers: PLATFORM_HEADERS, datagrams, probe: SystemProcessProbe.create() },
    { readinessPath: READINESS_PATH, metrics: { host: settings.peers.host, port: METRICS_PORT }, stopSignal })
  signals.handle('SIGHUP', () => { liveSettings.reload('signal').catch((error: unknown) => { log.error('reload failed', { error: String(error) }) }) })
  return daemon
}

/**
 * Starts a gateway daemon with the settings file that the platform names and runs it until it has stopped. Each way out writes why.
 *
 * @param signals - Signals to the process, caught since its first moment.
 * @throws Error of a start that failed, once the log tells it.
 */
export const main = async (signals: EarlySignals): Promise<void> => {
  const file = process.env[SETTINGS_VARIABLE]
  if (file === undefined) {
    reportBadInput(`${SETTINGS_VARIABLE}: expected the path of the settings file`)
    return
  }
  const readOnce: ReadSettings = async () => {
    const text = await readFile(file, 'utf8').catch(() => undefined)
    return text === undefined ? err('expected a readable file') : decodeSettings(text)
  }
  const stopController = new AbortController()
  const stopSignal = stopController.signal
  signals.handle('SIGTERM', () => { stopController.abort() })
  const clock = SystemClock.create()
  const sink = LineSink.create({ clock, linesPerSecond: MAX_LOG_LINES_PER_SECOND, write: (bytes, done) => { write(STDOUT, bytes, done) } })
  const createProcessLog = (fields: LogFields): Log => createLog({ level: 'info', format: 'json', clock, write: sink.write, fields })
  const readSettings: ReadSettings = async () => await readWholeSettings(readOnce, clock, stopSignal)
  const settings = await readSettings()
  if (settings.isErr()) {
    if (stopSignal.aborted) createProcessLog({}).info('stopped before it served', { step: 'settings' })
    else reportBadInput(`${file}: ${settings.error}`)
    await sink.close()
    return
  }
  const log = createProcessLog({ instance: settings.value.instanceId })
  logUnexpectedErrors(log)
  try {
    const daemon = await startDaemon({ settings: settings.value, readSettings, clock, log, stopSignal, signals })
    if (daemon === undefined) log.info('stopped before it served', { step: 'addresses' })
    else await daemon.done
  } catch (error) {
    log.error('start failed', { code: (error as NodeJS.ErrnoException).code, error: error instanceof Error ? error.stack : String(error) })
    throw error
  } finally {
    await sink.close()
  }
  process.exit(EXIT_OK)
}
