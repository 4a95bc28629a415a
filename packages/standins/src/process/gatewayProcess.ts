import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, openSync } from 'node:fs'
import { mkdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { SystemClock } from '@lovagehoist/common'
import { SETTINGS_VARIABLE } from '@lovagehoist/platform'

/** Signals that can be sent to a gateway daemon. */
export type ProcessSignal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'

/** How a gateway daemon is started. */
export interface ProcessOptions {
  /** Script to run; the built daemon of this workspace when absent. */
  readonly script?: string
  /** File that the output is written into, instead of being kept in memory. */
  readonly logFile?: string
}

/** A signal that was sent to a daemon. */
export interface SentSignal {
  readonly name: ProcessSignal
  /** Monotonic time at which it was sent. */
  readonly atMs: number
}

const GATEWAY_MAIN = fileURLToPath(new URL('../../../daemon/dist/gateway/entry.js', import.meta.url))
const DEPLOY_FILE = fileURLToPath(new URL('../../../../deploy/system.toml', import.meta.url))
const MAX_OUTPUT_LINES = 400
const clock = SystemClock.create()
/** Bit of SIGHUP in the mask of caught signals, as Linux shows it. */
const HANGUP_BIT = 1n

const runningChildren = new Set<ChildProcess>()
process.once('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** Options that the run line of the deploy file passes to Node.js, which bound its heap. */
export const deployedNodeOptions = async (): Promise<readonly string[]> => /^run = "node (.*) \S+"$/m.exec(await readFile(DEPLOY_FILE, 'utf8'))?.[1]?.split(' ') ?? []

/** A real gateway daemon in a child process; it is killed when the parent exits. */
export class GatewayProcess {
  private readonly outputLines: string[] = []
  /** Resolves when the process has exited. */
  readonly exited: Promise<void>
  hasExited = false
  /** Exit code, or the signal that ended the process; undefined while it runs. */
  exitCode: number | NodeJS.Signals | undefined
  /** Monotonic time at which the process exited. */
  exitedAtMs: number | undefined
  readonly startedAtMs = clock.monotonicMs()
  readonly sentSignals: SentSignal[] = []

  private constructor (readonly id: string, private readonly child: ChildProcess, readonly logFile: string | undefined) {
    this.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.hasExited = true
        this.exitedAtMs = clock.monotonicMs()
        this.exitCode = code ?? signal ?? undefined
        resolve()
      })
    })
    for (const stream of [child.stdout, child.stderr]) {
      if (stream !== null) createInterface({ input: stream }).on('line', line => { this.appendLine(line) })
    }
  }

  /**
   * Starts a gateway daemon.
   *
   * @param folder - Folder that the settings file is written into.
   * @param settings - Settings in the platform's format.
   * @param nodeOptions - Options of Node.js.
   * @param options - Script and log file.
   * @returns The process; it may not listen yet.
   */
  static async create (folder: string, settings: { readonly node_name: string }, nodeOptions: readonly string[] = [], { script = GATEWAY_MAIN, logFile }: ProcessOptions = {}): Promise<GatewayProcess> {
    await mkdir(folder, { recursive: true })
    const file = join(folder, `${settings.node_name}.json`)
    await writeFile(file, JSON.stringify(settings))
    const output = logFile === undefined ? 'pipe' : openSync(logFile, 'a')
    const child = spawn(process.execPath, [...nodeOptions, script], { stdio: ['ignore', output, output], env: { PATH: process.env.PATH, [SETTINGS_VARIABLE]: file } })
    if (typeof output === 'number') closeSync(output)
    runningChildren.add(child)
    child.once('exit', () => { runningChildren.delete(child) })
    return new GatewayProcess(settings.node_name, child, logFile)
  }

  /** Latest 400 lines of the daemon's output. */
  get output (): readonly string[] {
    return this.outputLines
  }

  /** Process ID. */
  get pid (): number {
    return this.child.pid ?? 0
  }

  /** Whether the program has begun to catch signals; before, they end the process. */
  async catchesSignals (): Promise<boolean> {
    const status = await readFile(`/proc/${this.pid}/status`, 'utf8').catch(() => '')
    return (BigInt(`0x${/^SigCgt:\s*(\w+)/m.exec(status)?.[1] ?? '0'}`) & HANGUP_BIT) !== 0n
  }

  /** Sends a signal to the daemon unless it has exited. */
  signal (name: ProcessSignal): void {
    if (this.hasExited) return
    this.sentSignals.push({ name, atMs: clock.monotonicMs() })
    this.child.kill(name)
  }

  private appendLine (line: string): void {
    this.outputLines.push(line)
    if (this.outputLines.length > MAX_OUTPUT_LINES) this.outputLines.shift()
  }
}
