import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Ports that a daemon logs when it has started. */
export interface DaemonPorts {
  readonly callers: number
  readonly admin: number
  readonly peers: number
}

/** A parsed log line of a daemon. */
export type DaemonLogLine = Readonly<Record<string, unknown>>

const DAEMON_MAIN = fileURLToPath(new URL('../../../daemon/bin/lovagehoistd.js', import.meta.url))
const MAX_LOG_LINES = 200

/** A real daemon in a child process. */
export class DaemonProcess {
  private readonly logLines: DaemonLogLine[] = []
  /** Resolves with the exit code, null when a signal ended the process. */
  readonly exited: Promise<number | null>

  private constructor (readonly id: string, private readonly child: ChildProcess, readonly ports: Promise<DaemonPorts>, subscribe: (onLine: (line: DaemonLogLine) => void) => void) {
    this.exited = new Promise(resolve => { child.once('exit', resolve) })
    subscribe(line => {
      this.logLines.push(line)
      if (this.logLines.length > MAX_LOG_LINES) this.logLines.shift()
    })
  }

  /**
   * Starts a daemon process.
   *
   * @param folder - Folder that the settings file is written into.
   * @param settings - Content of the settings file; the daemon validates it.
   * @returns The process; its `ports` resolve once the daemon listens, and reject when it exits before.
   */
  static async create (folder: string, settings: { readonly instance: { readonly id: string } }): Promise<DaemonProcess> {
    await mkdir(folder, { recursive: true })
    const file = join(folder, `${settings.instance.id}.jsonc`)
    await writeFile(file, JSON.stringify(settings))
    const child = spawn(process.execPath, [DAEMON_MAIN, '--settings', file], { stdio: ['ignore', 'inherit', 'pipe'] })
    const reader = createInterface({ input: child.stderr })
    const ports = new Promise<DaemonPorts>((resolve, reject) => {
      reader.on('line', text => {
        const line = parseLogLine(text)
        if (line.message === 'daemon started') resolve(line as unknown as DaemonPorts)
      })
      child.once('exit', code => { reject(new Error(`daemon ${settings.instance.id} exited with code ${code} before it started`)) })
    })
    ports.catch(() => {})
    return new DaemonProcess(settings.instance.id, child, ports, onLine => { reader.on('line', text => { onLine(parseLogLine(text)) }) })
  }

  /** Latest 200 lines of the daemon's log. */
  get log (): readonly DaemonLogLine[] {
    return this.logLines
  }

  /** Process ID. */
  get pid (): number {
    return this.child.pid ?? 0
  }

  /** Sends a signal to the daemon. */
  signal (name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
    this.child.kill(name)
  }
}

const parseLogLine = (text: string): DaemonLogLine => {
  try {
    return JSON.parse(text) as DaemonLogLine
  } catch {
    return { message: text }
  }
}
