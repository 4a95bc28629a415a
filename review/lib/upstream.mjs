import { createServer } from 'node:http'
import { createHash } from 'node:crypto'

/** Body of an upstream's answer: any part of it can be told from the same part of another one. */
export const bodyOf = (requestId, bytes) => {
  const line = `${createHash('sha256').update(requestId).digest('hex')}\n`
  return Buffer.from(line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes))
}

export const signatureOf = requestId => createHash('sha256').update(`signature ${requestId}`).digest('hex').slice(0, 24)

/** Stand-in of an upstream that speaks what PROTOCOL.md says; `answer` writes the answer to a request that runs. */
export class Upstream {
  constructor ({ id, service, host, record, answer, zone = 'zone-a' }) {
    Object.assign(this, { id, service, host, record, answer, zone })
    this.born = Date.now()
    this.sequence = 0
    this.state = 'ready'
    this.runs = []
    this.isStopped = true
    this.port = 0
  }

  async start () {
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = 10_000
    await new Promise((resolve, reject) => { this.server.once('error', reject).listen(this.port, this.host, resolve) })
    this.port = this.server.address().port
    this.isStopped = false
  }

  /** Ends the upstream's process: its connections close, and nothing listens any more. */
  stop () {
    this.isStopped = true
    this.server.close()
    this.server.closeAllConnections()
  }

  /** The entry that it writes to the store. */
  get row () {
    return { service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: 'v1', slots: 6, state: this.state, cold_remaining: '0ms', sequence: ++this.sequence, born: this.born }
  }

  handle (request, response) {
    const parts = []
    request.on('data', part => { parts.push(part) })
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('end', () => {
      const { headers, method, url } = request
      const id = headers['x-lovagehoist-request-id']
      const fields = { upstream: this.id, id, method, url }
      if (url === '/health') {
        response.writeHead(this.state === 'ready' ? 200 : 503, { 'x-lovagehoist-instance-id': this.id, 'content-length': 0 }).end()
        return
      }
      if (id === undefined) {
        response.writeHead(400, { 'x-lovagehoist-not-executed': '1', 'content-length': 0 }).end()
        return
      }
      response.setHeader('x-lovagehoist-request-id', id)
      if (headers['x-lovagehoist-expect-instance'] !== undefined && headers['x-lovagehoist-expect-instance'] !== this.id) {
        response.writeHead(421, { 'x-lovagehoist-instance-id': this.id, 'content-length': 0 }).end()
        return
      }
      const run = { ...fields, atMs: this.record.nowMs, body: Buffer.concat(parts) }
      this.runs.push(run)
      this.record.add('run', fields)
      response.setHeader('x-lovagehoist-upstream-signature', signatureOf(id))
      this.answer(run, request, response, this)
    })
  }
}
