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

/** How the store misbehaves. */
export type StoreTrouble = 'none' | 'busy' | 'silent' | 'answers-lost'

const OK = 200
const CONFLICT = 412
const HISTORY_LOST = 410
const BUSY = 503
const NOT_FOUND = 404
const WATCH_LOOK_MS = 5

/** Stand-in of the platform's store of rows: one counter of versions, watches, and trouble on demand. */
export class RowStoreStandin {
  private readonly rows = new Map<string, StoredRow>()
  private version = 0
  private oldest = 0
  private trouble: StoreTrouble = 'none'
  /** Calls by path, refused ones too. */
  readonly calls = new Map<string, number>()

  private constructor (private readonly server: Server, private readonly clock: Clock) {
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.serve(request, response).catch((error: unknown) => { sendJson(response, BUSY, { error: String(error) }) })
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

  /** Where the store listens. */
  get address (): Address {
    return { host: '127.0.0.1', port: (this.server.address() as AddressInfo).port }
  }

  /** Sets how the store misbehaves from now on. */
  setTrouble (trouble: StoreTrouble): void {
    this.trouble = trouble
  }

  /** Drops the history, so that watches have to begin anew. */
  dropHistory (): void {
    this.oldest = this.version
  }

  /** Writes a row as the operator or a target does. */
  put (table: string, key: string, value: unknown): void {
    this.write(table, key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'))
  }

  /** Removes a row. */
  remove (table: string, key: string): void {
    this.write(table, key, undefined)
  }

  /** Stops the store at once. */
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

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1)
    if (this.trouble === 'silent') return
    if (this.trouble === 'busy') {
      sendJson(response, BUSY, {})
      return
    }
    const handle = this.handlers[url.pathname]
    if (handle === undefined) sendJson(response, NOT_FOUND, {})
    else await handle(url.searchParams, request, response)
  }

  private readonly handlers: Readonly<Record<string, (query: URLSearchParams, request: IncomingMessage, response: ServerResponse) => Promise<void>>> = {
    '/rows-get': async (query, _request, response) => {
      const table = query.get('table') ?? ''
      const rows = this.rowsOf(table).filter(({ value }) => value !== undefined).sort((a, b) => a.key < b.key ? -1 : 1)
      this.answer(response, OK, { rows, has_more: false })
    },
    '/rows-feed': async (query, _request, response) => { await this.feed(query, response) },
    '/rows-tx': async (_query, request, response) => { this.transact(await readJson<Transaction>(request), response) }
  }

  private async feed (query: URLSearchParams, response: ServerResponse): Promise<void> {
    const after = Number(query.get('after'))
    const untilMs = this.clock.monotonicMs() + Number(query.get('wait_ms'))
    for (;;) {
      if (after < this.oldest) {
        this.answer(response, HISTORY_LOST, {})
        return
      }
      const rows = this.rowsOf(query.get('table') ?? '').filter(({ ver }) => ver > after).map(row => ({ ...row, removed: row.value === undefined }))
      if (rows.length > 0 || this.clock.monotonicMs() >= untilMs || response.destroyed) {
        this.answer(response, OK, { rows })
        return
      }
      await this.clock.sleepMs(WATCH_LOOK_MS)
    }
  }

  private transact (transaction: Transaction, response: ServerResponse): void {
    const isMet = transaction.expected_rev.every(({ table, key, ver }) => (this.rows.get(`${table}/${key}`)?.ver ?? 0) === ver)
    if (isMet) {
      for (const { table, key, value } of transaction.put_rows) this.write(table, key, value)
      for (const { table, key } of transaction.remove) this.write(table, key, undefined)
    }
    if (this.trouble === 'answers-lost') response.destroy()
    else this.answer(response, isMet ? OK : CONFLICT, {})
  }

  private rowsOf (table: string): readonly StoredRow[] {
    return [...this.rows.values()].filter(row => row.table === table)
  }

  private answer (response: ServerResponse, status: number, body: Readonly<Record<string, unknown>>): void {
    sendJson(response, status, { ...body, ver: this.version, now: `${Math.round(this.clock.monotonicMs())}ms` })
  }
}
