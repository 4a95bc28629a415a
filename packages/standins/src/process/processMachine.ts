import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock } from '@lovagehoist/common'
import { RowStoreStandin } from '../gateway/rowStoreStandin.js'
import { GatewayProcess } from './gatewayProcess.js'

/** Address and ports of a machine. */
export interface ProcessMachineOptions {
  readonly host: string
  readonly callersPort: number
  readonly readinessPort: number
  readonly peerPort: number
  /** Time after which a condition that is waited for counts as not met. */
  readonly timeoutMs: number
}

const POLL_MS = 1
const MEMORY_MB = 350

/** A machine on which real gateway daemons are started, one after another or beside each other, with a stand-in of the store. */
export class ProcessMachine {
  private readonly started: GatewayProcess[] = []

  private constructor (private readonly options: ProcessMachineOptions, readonly clock: SystemClock, private readonly store: RowStoreStandin, private readonly folder: string) {}

  /**
   * Creates a machine without processes.
   *
   * @param options - Address and ports.
   * @returns The machine; its store answers.
   */
  static async create (options: ProcessMachineOptions): Promise<ProcessMachine> {
    const clock = SystemClock.create()
    return new ProcessMachine(options, clock, await RowStoreStandin.create(clock), await mkdtemp(join(tmpdir(), 'machine-')))
  }

  /** Settings file of the latest process. */
  get settingsFile (): string {
    return join(this.folder, 'gate.json')
  }

  /**
   * Starts a process with settings of its own.
   *
   * @param memoryMb - Memory limit in the settings; a string makes them wrong.
   * @returns The process; it may not listen yet.
   */
  async start (memoryMb: number | string = MEMORY_MB): Promise<GatewayProcess> {
    const { host, callersPort, readinessPort, peerPort } = this.options
    const created = await GatewayProcess.create(this.folder, {
      node_name: 'gate',
      ip: host,
      zone: 'a',
      first_start: true,
      limits: { cpu_share: 1, cores: 1, max_fds: 4_096, memory_mb: memoryMb, link_mbps: 1_000 },
      listen: { front: `${host}:${callersPort}`, ready: `${host}:${readinessPort}` },
      internal_port_range: [peerPort, peerPort + 1],
      seeds: [],
      platform: { address: `127.0.0.1:${this.store.address.port}` },
      bounds: { grace_period: '6s', retry_budget_ratio: 0.2, retry_budget_slack: 60, budget_window: '10s' }
    } as { readonly node_name: string })
    this.started.push(created)
    return created
  }

  /**
   * Waits for a condition.
   *
   * @param isMet - The condition.
   * @throws Error with the output of all processes when it is not met in time.
   */
  async until (isMet: () => boolean | Promise<boolean>): Promise<void> {
    const endMs = this.clock.monotonicMs() + this.options.timeoutMs
    while (!await isMet()) {
      if (this.clock.monotonicMs() > endMs) throw new Error(`condition not met: ${JSON.stringify(this.started.map(({ output, exitCode }) => [exitCode, output]))}`)
      await this.clock.sleepMs(POLL_MS)
    }
  }

  /** Ends all processes and the store. */
  async close (): Promise<void> {
    for (const child of this.started) child.signal('SIGKILL')
    await Promise.all(this.started.map(async ({ exited }) => { await exited }))
    await this.store.close()
    await rm(this.folder, { recursive: true, force: true })
  }
}

/** Fields of the first line with a message in the output of a process; empty without such a line. */
export const loggedLine = ({ output }: GatewayProcess, message: string): Readonly<Record<string, unknown>> => {
  const line = output.find(text => text.includes(`"message":"${message}`))
  return line === undefined ? {} : JSON.parse(line) as Readonly<Record<string, unknown>>
}

/** Whether a process has written a line with a message. */
export const hasLogged = (gateway: GatewayProcess, message: string): boolean => loggedLine(gateway, message).message !== undefined
