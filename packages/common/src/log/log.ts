/* eslint-disable no-restricted-globals -- Date formats the time given by the injected clock */
import { createConsola } from 'consola'
import type { ConsolaInstance, LogObject } from 'consola'
import type { Clock } from '../time/clock.js'

/** Minimum severity of the lines that are written. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** Format of the lines: one JSON object per line, or text for a terminal. */
export type LogFormat = 'json' | 'pretty'

/** Names that every line already uses; a field of the same name would overwrite them. */
type ReservedField = 'at' | 'level' | 'part' | 'message'

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>> & { readonly [Name in ReservedField]?: never }

/** Structured logger, for changes of state; frequent events are counted in metrics instead. */
export interface Log {
  readonly error: (message: string, fields?: LogFields) => void
  readonly warn: (message: string, fields?: LogFields) => void
  readonly info: (message: string, fields?: LogFields) => void
  readonly debug: (message: string, fields?: LogFields) => void
  /**
   * Creates a child logger for a component.
   *
   * @param part - Name of the component, written with each line.
   */
  readonly child: (part: string) => Log
}

/** Options of a logger. */
export interface LogOptions {
  readonly level: LogLevel
  readonly format: LogFormat
  readonly clock: Clock
  /** Receives each formatted line, line feed included. */
  readonly write: (line: string) => void
  /** Fields added to each line, such as the instance that writes it. */
  readonly fields?: LogFields
}

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 }

const splitArguments = (entry: LogObject): { readonly message: string, readonly fields: LogFields | undefined } => {
  const [message, fields] = entry.args as readonly unknown[]
  return { message: String(message), fields: fields as LogFields | undefined }
}

const renderers: Readonly<Record<LogFormat, (entry: LogObject, atMs: number, common: LogFields | undefined) => string>> = {
  json: (entry, atMs, common) => {
    const { message, fields } = splitArguments(entry)
    return JSON.stringify({ at: new Date(atMs).toISOString(), ...common, level: entry.type, part: entry.tag, message, ...fields })
  },
  pretty: (entry, atMs) => {
    const { message, fields } = splitArguments(entry)
    const suffix = fields === undefined ? '' : ` ${JSON.stringify(fields)}`
    return `${new Date(atMs).toISOString()} ${entry.type.padEnd(5)} ${entry.tag}: ${message}${suffix}`
  }
}

const toLog = (consola: ConsolaInstance): Log => {
  const createMethod = (type: LogLevel) => (message: string, fields?: LogFields): void => {
    if (fields === undefined) consola[type](message)
    else consola[type](message, fields)
  }
  return {
    error: createMethod('error'),
    warn: createMethod('warn'),
    info: createMethod('info'),
    debug: createMethod('debug'),
    child: part => toLog(consola.withTag(part))
  }
}

/**
 * Creates a logger.
 *
 * @param options - Level, format, clock and sink.
 * @returns The logger.
 */
export const createLog = (options: LogOptions): Log => {
  const reporter = {
    log: (entry: LogObject): void => {
      options.write(`${renderers[options.format](entry, options.clock.wallMs(), options.fields)}\n`)
    }
  }
  return toLog(createConsola({ level: CONSOLA_LEVELS[options.level], reporters: [reporter], throttle: 0 }))
}

/** A logger that discards every line. */
export const silentLog: Log = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
  child: () => silentLog
}
