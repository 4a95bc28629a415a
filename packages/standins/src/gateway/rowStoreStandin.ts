import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Address, Clock } from '@lovagehoist/common'
import { readJson, sendJson } from '../process/httpBody.js'

interface StoredRow {
  readonly table: string
  readonly key: string
  /** Base64; absent for a removed row. */
  readonly value: string | undefined
  readonly ver: number
}

interface Transaction {
  readonly expected_rev: ReadonlyArray<{ readonly table: string, readonly key: string, readonly ver: number }>
  readonly put_rows: ReadonlyArray<{ readonly table: string, readonly key: string, readonly value: string }>
  readonly remove: ReadonlyArray<{ readonly table: string, readonly key: string }>
}

/** Fault of the store: refuses calls, leaves them unanswered, or applies transactions and drops their responses. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'answers-lost'

const STATUS_OK = 200
const STATUS_VERSION_CONFLICT = 412
const STATUS_HISTORY_LOST = 410
const STATUS_BUSY = 503
const STATUS_NOT_FOUND = 404
const WATCH_POLL_MS = 5

/** Stand-in of the platform's row store: one version counter for all rows, watches by long polling, and injected faults. */
export class RowStoreStandin {
  private readonly rows = new Map<string, StoredRow>()
  private version = 0
  private historyStartVersion = 0
  private fault: StoreFault = 'none'
  /** Number of calls by path, including refused ones. */
  readonly callsByPath = new Map<string, number>()

  private constructor (private readonly server: Server, private readonly clock: Clock) {
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.handleRequest(request, response).catch((error: unknown) => { sendJson(response, STATUS_BUSY, { error: String(error) }) })
    })
  }

  /**
   * Starts a store on the loopback address.
   *
   * @param clock - Source of time.
   * @returns The store, once it listens.
   */
  static async create (clock: Clock): Promise<RowStoreStandin> {
    const server = createServer()
    const store = new RowStoreStandin(server, clock)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', () => { resolve() }) })
    return store
  }

  /** Address that the store listens on. */
  get address (): Address {
    return { host: '127.0.0.1', port: (this.server.address() as AddressInfo).port }
  }

  /** Sets the fault of all later calls. */
  setFault (fault: StoreFault): void {
    this.fault = fault
  }

  /** Drops the change history, so that watches have to read all rows again. */
  dropHistory (): void {
    this.historyStartVersion = this.version
  }

  /** Writes a row; a value that is not a string is encoded as JSON. */
  put (table: string, key: string, value: unknown): void {
    this.write(table, key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'))
  }

  /** Removes a row. */
  remove (table: string, key: string): void {
    this.write(table, key, undefined)
  }

  /** Keeps a copy of all rows; returns the function that goes back to it, as after the loss of the newest writes. */
  keepCopy (): () => void {
    const [copy, version] = [new Map(this.rows), this.version]
    return () => {
      this.rows.clear()
      for (const [key, row] of copy) this.rows.set(key, row)
      this.version = version
    }
  }

  /** Stops the store at once and closes its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }

  private write (table: string, key: string, value: string | undefined): void {
    this.version++
    this.rows.set(`${table}/${key}`, { table, key, value, ver: this.version })
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    const called = url.searchParams.get('wait_ms') === '1' ? `${url.pathname} (check)` : url.pathname
    this.callsByPath.set(called, (this.callsByPath.get(called) ?? 0) + 1)
    if (this.fault === 'silent') return
    if (this.fault === 'busy') {
      sendJson(response, STATUS_BUSY, {})
      return
    }
    const handle = this.handlers[url.pathname]
    if (handle === undefined) sendJson(response, STATUS_NOT_FOUND, {})
    else await handle(url.searchParams, request, response)
  }

  private readonly handlers: Readonly<Record<string, (query: URLSearchParams, request: IncomingMessage, response: ServerResponse) => Promise<void>>> = {
    '/rows-get': async (query, _request, response) => {
      const table = query.get('table') ?? ''
      const rows = this.rowsOf(table).filter(({ value }) => value !== undefined).sort((a, b) => a.key < b.key ? -1 : 1)
      this.respond(response, STATUS_OK, { rows, has_more: false })
    },
    '/rows-feed': async (query, _request, response) => { await this.serveWatch(query, response) },
    '/rows-tx': async (_query, request, response) => { this.transact(await readJson<Transaction>(request), response) }
  }

  private async serveWatch (query: URLSearchParams, response: ServerResponse): Promise<void> {
    const afterVersion = Number(query.get('after'))
    const deadlineMs = this.clock.monotonicMs() + Number(query.get('wait_ms'))
    for (;;) {
      if (afterVersion < this.historyStartVersion) {
        this.respond(response, STATUS_HISTORY_LOST, {})
        return
      }
      const rows = this.rowsOf(query.get('table') ?? '').filter(({ ver }) => ver > afterVersion).map(row => ({ ...row, removed: row.value === undefined }))
      if (rows.length > 0 || this.clock.monotonicMs() >= deadlineMs || response.destroyed) {
        this.respond(response, STATUS_OK, { rows })
        return
      }
      await this.clock.sleepMs(WATCH_POLL_MS)
    }
  }

  private transact (transaction: Transaction, response: ServerResponse): void {
    const versionsMatch = transaction.expected_rev.every(({ table, key, ver }) => (this.rows.get(`${table}/${key}`)?.ver ?? 0) === ver)
    if (versionsMatch) {
      for (const { table, key, value } of transaction.put_rows) this.write(table, key, value)
      for (const { table, key } of transaction.remove) this.write(table, key, undefined)
    }
    if (this.fault === 'answers-lost') response.destroy()
    else this.respond(response, versionsMatch ? STATUS_OK : STATUS_VERSION_CONFLICT, {})
  }

  private rowsOf (table: string): readonly StoredRow[] {
    return [...this.rows.values()].filter(row => row.table === table)
  }

  private respond (response: ServerResponse, status: number, body: Readonly<Record<string, unknown>>): void {
    sendJson(response, status, { ...body, ver: this.version, now: `${Math.round(this.clock.monotonicMs())}ms` })
  }
}
