// Stand-in of the platform's store: rows, transactions and the feed of changes, as PROTOCOL.md describes them.
import http from 'node:http'

const HISTORY_LOST = 410

export class Store {
  rows = new Map()
  log = []
  ver = 0
  waiting = new Set()
  /** Decides what happens to a call: undefined, or 'silent', 'busy' or 'reset'. */
  faultOf = () => undefined
  calls = []
  doors = new Map()

  static async start (host) {
    const store = new Store()
    store.host = host
    store.server = http.createServer((request, response) => { store.handle(request, response) })
    store.server.keepAliveTimeout = 60_000
    await new Promise(resolve => { store.server.listen(0, host, resolve) })
    store.port = store.server.address().port
    return store
  }

  /** Another address of the store, for one machine; the store can turn its calls away. */
  async openDoor (name) {
    const server = http.createServer((request, response) => { this.handle(request, response, name) })
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => { server.listen(0, this.host, resolve) })
    this.doors.set(name, server)
    return `${this.host}:${server.address().port}`
  }

  /** Ends the calls of one machine that are open. */
  cutDoor (name) { this.doors.get(name).closeAllConnections() }

  get address () { return `${this.host}:${this.port}` }

  put (table, key, value) { this.write(table, key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64')) }

  remove (table, key) { this.write(table, key, undefined) }

  write (table, key, value, part = '') {
    this.ver++
    const name = `${table}\n${part}\n${key}`
    if (value === undefined) this.rows.delete(name)
    else this.rows.set(name, { table, part, key, value, ver: this.ver })
    this.log.push(value === undefined ? { table, part, key, removed: true, ver: this.ver } : { table, part, key, value, ver: this.ver })
    for (const wake of [...this.waiting]) wake()
  }

  handle (request, response, door) {
    const url = new URL(request.url, 'http://store')
    const from = request.socket.remoteAddress
    this.calls.push({ atMs: performance.now(), from, path: url.pathname, query: url.search })
    const fault = this.faultOf(door, url)
    if (fault === 'silent') return
    if (fault === 'reset') {
      request.socket.resetAndDestroy()
      return
    }
    if (fault === 'busy') {
      this.send(response, 503, {})
      return
    }
    if (url.pathname === '/rows-get') this.get(url.searchParams, response)
    else if (url.pathname === '/rows-feed') this.feed(url.searchParams, request, response)
    else if (url.pathname === '/rows-tx') this.transact(request, response)
    else this.send(response, 404, {})
  }

  get (query, response) {
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const rows = [...this.rows.values()]
      .filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && (to === null || row.key < to))
      .sort((a, b) => a.key < b.key ? -1 : 1)
    this.send(response, 200, { rows: rows.slice(0, limit), has_more: rows.length > limit })
  }

  feed (query, request, response) {
    const after = Number(query.get('after'))
    if (after > this.ver) {
      this.send(response, HISTORY_LOST, {})
      return
    }
    const changed = () => this.log.filter(row => row.table === query.get('table') && row.ver > after)
    const finish = () => {
      if (changed().length === 0 && !isDue) return
      clearTimeout(timer)
      this.waiting.delete(finish)
      if (!response.destroyed) this.send(response, 200, { rows: changed() })
    }
    let isDue = false
    const timer = setTimeout(() => {
      isDue = true
      finish()
    }, Math.min(30_000, Number(query.get('wait_ms') ?? 0)))
    response.once('close', () => {
      clearTimeout(timer)
      this.waiting.delete(finish)
    })
    this.waiting.add(finish)
    finish()
  }

  transact (request, response) {
    const parts = []
    request.on('data', part => parts.push(part)).on('end', () => {
      const { expected_rev: expected = [], put_rows: puts = [], remove = [] } = JSON.parse(Buffer.concat(parts))
      const rowOf = ({ table, part = '', key }) => this.rows.get(`${table}\n${part}\n${key}`)
      if (expected.some(row => (rowOf(row)?.ver ?? 0) !== row.ver)) {
        this.send(response, 412, { rows: expected.map(rowOf).filter(row => row !== undefined) })
        return
      }
      for (const { table, part, key, value } of puts) this.write(table, key, value, part)
      for (const { table, part, key } of remove) this.write(table, key, undefined, part)
      this.send(response, 200, {})
    })
  }

  send (response, status, body) {
    setTimeout(() => {
      const text = JSON.stringify({ ...body, ver: this.ver, now: `${Math.round(performance.now())}ms` })
      if (!response.destroyed) response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
    }, 4)
  }

  close () {
    for (const server of [this.server, ...this.doors.values()]) {
      server.close()
      server.closeAllConnections()
    }
  }
}
