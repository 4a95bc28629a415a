import { createServer } from 'node:http'
import { performance } from 'node:perf_hooks'

const POLL_MS = 5
const ANSWER_MS = 4

const readBody = async request => {
  const parts = []
  for await (const part of request) parts.push(part)
  return Buffer.concat(parts).toString('utf8')
}

/**
 * Stand-in of the platform's store: rows, transactions and the feed of PROTOCOL.md. Each machine has an address of its own for it, so that a
 * single machine can be partitioned from the store: its calls then get no answer, and nothing is done, until the cut heals.
 */
export class Store {
  constructor () {
    this.rows = new Map()
    this.version = 0
    this.doors = []
  }

  /** Opens one machine's way to the store. */
  async open (host) {
    const door = { isCut: false, listingReads: 0, heldBack: [] }
    door.server = createServer((request, response) => {
      this.handle(door, request, response).catch(() => { response.destroy() })
    })
    await new Promise(resolve => { door.server.listen(0, host, resolve) })
    door.address = `${host}:${door.server.address().port}`
    door.cut = () => { door.isCut = true }
    door.heal = () => {
      door.isCut = false
      // What was held up during the cut is lost: its sender has given it up.
      for (const response of door.heldBack.splice(0)) response.destroy()
    }
    this.doors.push(door)
    return door
  }

  /** Writes a row as the operator or an upstream does; returns its version once the store holds it. */
  put (table, key, value) {
    this.version++
    this.rows.set(`${table}/${key}`, { table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'), ver: this.version })
    return this.version
  }

  remove (table, key) {
    this.version++
    this.rows.set(`${table}/${key}`, { table, part: '', key, removed: true, ver: this.version })
  }

  close () {
    for (const { server } of this.doors) {
      server.close()
      server.closeAllConnections()
    }
  }

  async handle (door, request, response) {
    const url = new URL(request.url, 'http://store')
    const body = await readBody(request)
    if (url.pathname === '/rows-get' && url.searchParams.get('table') === 'servers') door.listingReads++
    await new Promise(resolve => { setTimeout(resolve, ANSWER_MS) })
    if (door.isCut) {
      door.heldBack.push(response)
      return
    }
    const answer = (status, fields) => {
      if (door.isCut) {
        door.heldBack.push(response)
        return
      }
      const text = JSON.stringify({ ...fields, ver: this.version, now: `${Math.round(performance.now())}ms` })
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
    }
    const table = url.searchParams.get('table') ?? ''
    if (url.pathname === '/rows-get') this.get(url.searchParams, table, answer)
    else if (url.pathname === '/rows-feed') await this.feed(url.searchParams, table, response, answer)
    else if (url.pathname === '/rows-tx') this.transact(JSON.parse(body), answer)
    else if (url.pathname === '/rows-parts') answer(200, { parts: [], has_more: false })
    else answer(404, {})
  }

  get (query, table, answer) {
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const found = [...this.rows.values()]
      .filter(row => row.table === table && row.removed !== true && row.key >= from && (to === null || row.key < to))
      .sort((a, b) => a.key < b.key ? -1 : 1)
    answer(200, { rows: found.slice(0, limit), has_more: found.length > limit })
  }

  async feed (query, table, response, answer) {
    const after = Number(query.get('after'))
    const endsAtMs = performance.now() + Math.min(30_000, Number(query.get('wait_ms')))
    for (;;) {
      const rows = [...this.rows.values()].filter(row => row.table === table && row.ver > after).sort((a, b) => a.ver - b.ver)
      if (rows.length > 0 || performance.now() >= endsAtMs) {
        answer(200, { rows })
        return
      }
      if (response.destroyed) return
      await new Promise(resolve => { setTimeout(resolve, POLL_MS) })
    }
  }

  transact ({ expected_rev: expected = [], put_rows: puts = [], remove = [] }, answer) {
    const current = ({ table, key }) => this.rows.get(`${table}/${key}`)
    const verOf = row => { const found = current(row); return found === undefined || found.removed === true ? 0 : found.ver }
    if (expected.some(row => verOf(row) !== row.ver)) {
      answer(412, { rows: expected.flatMap(row => current(row) ?? []) })
      return
    }
    this.version++
    for (const { table, part = '', key, value } of puts) this.rows.set(`${table}/${key}`, { table, part, key, value, ver: this.version })
    for (const { table, part = '', key } of remove) this.rows.set(`${table}/${key}`, { table, part, key, removed: true, ver: this.version })
    answer(200, {})
  }
}
