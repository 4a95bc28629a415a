import { readFile } from 'node:fs/promises'

/** A running process. */
export interface RunningProcess {
  readonly pid: number
}

/** Clock ticks per second (`USER_HZ`) in /proc/PID/stat. */
const TICKS_PER_SECOND = 100
/** Indexes of `utime` and `stime` among the fields that follow the process name in /proc/PID/stat. */
const USER_TIME_INDEX = 11
const SYSTEM_TIME_INDEX = 12

const cpuSecondsOfProcess = async (pid: number): Promise<number> => {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX])) / TICKS_PER_SECOND
}

/**
 * Reads the CPU time that daemons have used since their start.
 *
 * @param daemons - Running daemons.
 * @returns The sum in seconds.
 */
export const cpuSecondsOf = async (daemons: readonly RunningProcess[]): Promise<number> => {
  const seconds = await Promise.all(daemons.map(async daemon => await cpuSecondsOfProcess(daemon.pid)))
  return seconds.reduce((sum, value) => sum + value, 0)
}

const KB_PER_MB = 1_024

const residentMbOfProcess = async (pid: number): Promise<number> => {
  const text = await readFile(`/proc/${pid}/status`, 'utf8')
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / KB_PER_MB
}

/** Memory of a daemon, in megabytes. */
export interface DaemonMemory {
  /** Largest resident set size so far, with the program's pages that processes share. */
  readonly peakResidentMb: number
  /** Resident memory now that no other process shares. */
  readonly unsharedMb: number
}

/**
 * Reads the memory of a daemon.
 *
 * @param daemon - Running daemon.
 * @returns Its memory.
 */
export const memoryOf = async ({ pid }: RunningProcess): Promise<DaemonMemory> => {
  const text = await readFile(`/proc/${pid}/status`, 'utf8')
  return {
    peakResidentMb: Number(/VmHWM:\s+(\d+)/.exec(text)?.[1] ?? 0) / KB_PER_MB,
    unsharedMb: Number(/RssAnon:\s+(\d+)/.exec(text)?.[1] ?? 0) / KB_PER_MB
  }
}

/**
 * Reads the resident set size of daemons.
 *
 * @param daemons - Running daemons.
 * @returns The mean in megabytes.
 */
export const residentMbOf = async (daemons: readonly RunningProcess[]): Promise<number> => {
  const megabytes = await Promise.all(daemons.map(async daemon => await residentMbOfProcess(daemon.pid)))
  return megabytes.reduce((sum, value) => sum + value, 0) / Math.max(1, daemons.length)
}
