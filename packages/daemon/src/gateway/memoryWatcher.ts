import type { Clock, Log } from '@lovagehoist/common'
import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { ProcessProbe } from './processProbe.js'

/** What may take the memory of a daemon. */
export interface MemoryUse {
  /** Connections of callers and of other daemons. */
  readonly connections: number
  /** Bytes that the buffer budget holds. */
  readonly bufferedBytes: number
}

/** Clock, log, probe and limit of a memory watcher. */
export interface MemoryWatcherOptions {
  readonly clock: Clock
  readonly log: Log
  readonly probe: Pick<ProcessProbe, 'residentBytes' | 'memoryParts'>
  /** Resident memory above which the process may be killed. */
  readonly limitBytes: number
  readonly use: () => MemoryUse
}

const CHECK_INTERVAL_MS = 1_000
const BYTES_PER_MB = 1_048_576
const HIGH_SHARE = 0.9
/** Well below the other share, so that memory around one of them is not reported every second. */
const NORMAL_SHARE = 0.8

/**
 * Derives the memory limit of a process from its settings.
 *
 * @param memoryMb - Memory that the process may use, in megabytes.
 * @returns The limit in bytes.
 */
export const memoryLimitBytes = (memoryMb: number): number => memoryMb * BYTES_PER_MB

/**
 * Registers gauges of resident memory and of its limit.
 *
 * @param registry - Registry of this daemon.
 * @param probe - Reads the memory.
 * @param limitBytes - Resident memory above which the process may be killed.
 */
export const registerMemoryMetrics = (registry: Registry, { residentBytes }: Pick<ProcessProbe, 'residentBytes'>, limitBytes: number): void => {
  const resident: Gauge = new Gauge({
    name: 'lovagehoist_memory_resident_bytes',
    help: 'Resident memory of the process; 0 where the system does not tell it.',
    registers: [registry],
    collect: () => { resident.set(residentBytes() ?? 0) }
  })
  new Gauge({ name: 'lovagehoist_memory_limit_bytes', help: 'Memory above which the process may be killed.', registers: [registry] }).set(limitBytes)
}

/**
 * Logs when resident memory passes nine tenths of its limit, and when it is below eight tenths again: a process that is killed for its memory writes nothing more.
 *
 * @param options - Clock, log, probe and limit.
 * @returns A loop that runs until its signal aborts.
 */
export const createMemoryWatcher = ({ clock, log, probe, limitBytes, use }: MemoryWatcherOptions) => async (signal: AbortSignal): Promise<void> => {
  let isHigh = false
  while (!signal.aborted) {
    const residentBytes = probe.residentBytes() ?? 0
    const isAbove: boolean = residentBytes > limitBytes * (isHigh ? NORMAL_SHARE : HIGH_SHARE)
    if (isAbove && !isHigh) log.warn('memory above nine tenths of its limit', { residentBytes, limitBytes, ...probe.memoryParts(), ...use() })
    else if (isHigh && !isAbove) log.info('memory below eight tenths of its limit again', { residentBytes, limitBytes })
    isHigh = isAbove
    await clock.sleepMs(CHECK_INTERVAL_MS, signal)
  }
}
