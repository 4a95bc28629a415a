import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { gzipSync } from 'node:zlib'
import polka from 'polka'
import type { Clock, DirectoryEntry, Random, TableTransaction } from '@lovagehoist/common'
import { TableState } from '@lovagehoist/common/fakes'
import { readBytes, readJson, sendJson } from '../process/httpBody.js'
import { NO_PLATFORM_FAULTS } from './platformFaults.js'
import type { PlatformFaults } from './platformFaults.js'

/** Number of calls that the stand-in received, and peak rates. */
export interface PlatformCounts {
  readonly reads: number
  readonly writes: number
  readonly directoryReads: number
  readonly peakWritesPerSecond: number
  readonly peakReadsPerSecond: number
}

const MS_PER_SECOND = 1_000

/** Stand-in of the platform: table service, object store and instance directory over HTTP. */
export class PlatformStandin {
  private readonly table = TableState.create()
  private readonly objects = new Map<string, Buffer>()
  private readonly directory = new Map<string, DirectoryEntry>()
  private publishedDirectory: readonly DirectoryEntry[] = []
  private faults: PlatformFaults = NO_PLATFORM_FAULTS
  private readonly callsPerSecond = new Map<number, { readonly reads: number, readonly writes: number }>()
  private directoryReads = 0
  private directoryVersion = 0

  private constructor (private readonly clock: Clock, private readonly random: Random, private readonly server: Server) {}

  /**
   * Starts a platform on the loopback address.
   *
   * @param clock - Source of time.
   * @param random - Decides which responses are dropped.
   * @param port - Port; 0 for any.
   * @returns The stand-in, once it listens.
   */
  static async create (clock: Clock, random: Random, port = 0): Promise<PlatformStandin> {
    const server = createServer()
    const standin = new PlatformStandin(clock, random, server)
    const app = polka({ server })
    standin.addTableCalls(app)
    standin.addObjectCalls(app)
    standin.addDirectoryCalls(app)
    await new Promise<void>(resolve => { app.listen(port, '127.0.0.1', () => { resolve() }) })
    return standin
  }

  /** Address of the stand-in. */
  get url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Sets faults; fields left out stay as they are. */
  setFaults (faults: Partial<PlatformFaults>): void {
    this.faults = { ...this.faults, ...faults }
  }

  /** Adds or replaces a directory entry. */
  register (entry: DirectoryEntry): void {
    this.directory.set(entry.id, entry)
    this.publishDirectory()
  }

  /** Adds or replaces many directory entries in one update. */
  registerAll (entries: readonly DirectoryEntry[]): void {
    for (const entry of entries) this.directory.set(entry.id, entry)
    this.publishDirectory()
  }

  /** Removes a directory entry. */
  remove (id: string): void {
    this.directory.delete(id)
    this.publishDirectory()
  }

  /** Calls received so far. */
  counts (): PlatformCounts {
    const seconds = [...this.callsPerSecond.values()]
    return {
      reads: seconds.reduce((sum, second) => sum + second.reads, 0),
      writes: seconds.reduce((sum, second) => sum + second.writes, 0),
      directoryReads: this.directoryReads,
      peakReadsPerSecond: Math.max(0, ...seconds.map(second => second.reads)),
      peakWritesPerSecond: Math.max(0, ...seconds.map(second => second.writes))
    }
  }

  /** Stops the stand-in and closes its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }

  private publishDirectory (): void {
    const snapshot = [...this.directory.values()]
    this.clock.after(this.faults.directoryLagMs, () => {
      this.publishedDirectory = snapshot
      this.directoryVersion++
    })
  }

  private addTableCalls (app: polka.Polka): void {
    app.post('/table/get', this.withFaults('reads', async (request, response) => {
      const { table, key, isFresh } = await readJson<{ table: string, key: string, isFresh: boolean }>(request)
      sendJson(response, 200, { row: this.table.get(table, key, isFresh || this.faults.replicaLagMs === 0) ?? null })
    }))
    app.post('/table/list', this.withFaults('reads', async (request, response) => {
      const { table, keyPrefix, isFresh } = await readJson<{ table: string, keyPrefix: string, isFresh: boolean }>(request)
      sendJson(response, 200, { rows: this.table.list(table, keyPrefix, isFresh || this.faults.replicaLagMs === 0) })
    }))
    app.post('/table/transact', this.withFaults('writes', async (request, response) => {
      const outcome = this.table.transact(await readJson<TableTransaction>(request))
      this.clock.after(this.faults.replicaLagMs, () => { this.table.syncReplica() })
      if (this.random.next() < this.faults.lostAnswerShare) response.destroy()
      else sendJson(response, 200, outcome)
    }))
  }

  private addObjectCalls (app: polka.Polka): void {
    app.put('/objects/:key', this.withFaults('writes', async (request, response) => {
      this.objects.set(keyOf(request), await readBytes(request))
      sendJson(response, 200, {})
    }))
    app.get('/objects/:key', this.withFaults('reads', async (request, response) => {
      const body = this.objects.get(keyOf(request))
      if (body === undefined) sendJson(response, 404, {})
      else response.end(body)
    }))
  }

  private addDirectoryCalls (app: polka.Polka): void {
    app.get('/directory', async (request: IncomingMessage, response: ServerResponse) => {
      this.directoryReads++
      this.countCall('reads')
      await this.clock.sleepMs(this.faults.delayMs)
      if (this.faults.isDirectoryDown) sendJson(response, 503, {})
      else this.sendDirectory(request, response)
    })
  }

  private sendDirectory (request: IncomingMessage, response: ServerResponse): void {
    const tag = `"${this.directoryVersion}"`
    response.setHeader('etag', tag)
    if (request.headers['if-none-match'] === tag) response.writeHead(304).end()
    else if (request.headers['accept-encoding'] === 'gzip') response.writeHead(200, { 'content-encoding': 'gzip' }).end(gzipSync(JSON.stringify({ entries: this.publishedDirectory })))
    else sendJson(response, 200, { entries: this.publishedDirectory })
  }

  private withFaults (kind: 'reads' | 'writes', handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
    return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
      this.countCall(kind)
      if (this.faults.delayMs > 0) await this.clock.sleepMs(this.faults.delayMs)
      if (this.faults.isDown) {
        sendJson(response, 503, {})
        return
      }
      // A client that timed out has closed the connection, so the request cannot be answered.
      await handle(request, response).catch(() => { response.destroy() })
    }
  }

  private countCall (kind: 'reads' | 'writes'): void {
    const second = Math.floor(this.clock.monotonicMs() / MS_PER_SECOND)
    const counts = this.callsPerSecond.get(second) ?? { reads: 0, writes: 0 }
    this.callsPerSecond.set(second, { ...counts, [kind]: counts[kind] + 1 })
  }
}

const keyOf = (request: IncomingMessage): string =>
  decodeURIComponent((request as IncomingMessage & { readonly params: { readonly key: string } }).params.key)
