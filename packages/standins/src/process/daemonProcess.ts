import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Ports that a daemon reported when it started. */
export interface DaemonPorts {
  readonly callers: number
  readonly admin: number
  readonly peers: number
}

/** A line of a daemon's log. */
export type DaemonLogLine = Readonly<Record<string, unknown>>

const DAEMON_MAIN = fileURLToPath(new URL('../../../daemon/bin/lovagehoistd.js', import.meta.url))
const KEPT_LINES = 200

/** A real daemon as a process of its own. */
export class DaemonProcess {
  private readonly lines: DaemonLogLine[] = []
  /** Resolves with the exit code. */
  readonly exited: Promise<number | null>

  private constructor (readonly id: string, private readonly child: ChildProcess, readonly ports: Promise<DaemonPorts>, takeLine: (use: (line: DaemonLogLine) => void) => void) {
    this.exited = new Promise(resolve => { child.once('exit', resolve) })
    takeLine(line => {
      this.lines.push(line)
      if (this.lines.length > KEPT_LINES) this.lines.shift()
    })
  }

  /**
   * Starts a daemon.
   *
   * @param folder - Folder that the settings file is written into.
   * @param settings - Settings, unchecked.
   * @returns The handle; its ports are known once the daemon listens.
   */
  static async create (folder: string, settings: { readonly instance: { readonly id: string } }): Promise<DaemonProcess> {
    await mkdir(folder, { recursive: true })
    const file = join(folder, `${settings.instance.id}.jsonc`)
    await writeFile(file, JSON.stringify(settings))
    const child = spawn(process.execPath, [DAEMON_MAIN, '--settings', file], { stdio: ['ignore', 'inherit', 'pipe'] })
    const reader = createInterface({ input: child.stderr })
    const ports = new Promise<DaemonPorts>((resolve, reject) => {
      reader.on('line', text => {
        const line = parseLine(text)
        if (line.message === 'daemon started') resolve(line as unknown as DaemonPorts)
      })
      child.once('exit', code => { reject(new Error(`daemon ${settings.instance.id} ended with ${code}`)) })
    })
    ports.catch(() => {})
    return new DaemonProcess(settings.instance.id, child, ports, use => { reader.on('line', text => { use(parseLine(text)) }) })
  }

  /** Latest lines of the daemon's log. */
  get log (): readonly DaemonLogLine[] {
    return this.lines
  }

  /** Process id. */
  get pid (): number {
    return this.child.pid ?? 0
  }

  /** Sends a signal to the daemon. */
  signal (name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
    this.child.kill(name)
  }
}

const parseLine = (text: string): DaemonLogLine => {
  try {
    return JSON.parse(text) as DaemonLogLine
  } catch {
    return { message: text }
  }
}
