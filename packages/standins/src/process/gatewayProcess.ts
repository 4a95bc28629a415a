import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { SETTINGS_VARIABLE } from '@lovagehoist/platform'

/** Signals that a soak sends. */
export type SoakSignal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'

const GATEWAY_MAIN = fileURLToPath(new URL('../../../daemon/dist/gateway/main.js', import.meta.url))
const KEPT_LINES = 400

const running = new Set<ChildProcess>()
process.once('exit', () => { for (const child of running) child.kill('SIGKILL') })

/** A real gateway daemon as a process of its own. */
export class GatewayProcess {
  private readonly lines: string[] = []
  /** Resolves when the process is gone. */
  readonly exited: Promise<void>
  isGone = false

  private constructor (readonly id: string, private readonly child: ChildProcess) {
    this.exited = new Promise(resolve => {
      child.once('exit', () => {
        this.isGone = true
        resolve()
      })
    })
    for (const stream of [child.stdout, child.stderr]) {
      if (stream !== null) createInterface({ input: stream }).on('line', line => { this.keep(line) })
    }
  }

  /**
   * Starts a daemon.
   *
   * @param folder - Folder that the settings file is written into.
   * @param settings - Settings as the platform writes them.
   * @returns The process; it may not listen yet.
   */
  static async create (folder: string, settings: { readonly node_name: string }): Promise<GatewayProcess> {
    await mkdir(folder, { recursive: true })
    const file = join(folder, `${settings.node_name}.json`)
    await writeFile(file, JSON.stringify(settings))
    const child = spawn(process.execPath, [GATEWAY_MAIN], { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, [SETTINGS_VARIABLE]: file } })
    running.add(child)
    child.once('exit', () => { running.delete(child) })
    return new GatewayProcess(settings.node_name, child)
  }

  /** Latest lines of the daemon's output. */
  get output (): readonly string[] {
    return this.lines
  }

  /** Process id. */
  get pid (): number {
    return this.child.pid ?? 0
  }

  /** Sends a signal to the daemon. */
  signal (name: SoakSignal): void {
    if (!this.isGone) this.child.kill(name)
  }

  private keep (line: string): void {
    this.lines.push(line)
    if (this.lines.length > KEPT_LINES) this.lines.shift()
  }
}
