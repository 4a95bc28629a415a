// Stand-in of an upstream, as PROTOCOL.md describes it: checks the expected instance, echoes the id, signs its answers.
import http from 'node:http'

const MISDIRECTED = 421

export class Upstream {
  runs = []
  arrivals = []
  workMs = () => 20
  /** Answers a request that has been run; may be replaced. */
  answer = (run, response) => { this.answerWell(run, response) }
  /** Whether a request is refused before it runs. */
  refuses = () => false

  static async start (host, id, onRun = () => {}) {
    const upstream = new Upstream()
    Object.assign(upstream, { host, id, onRun, born: Date.now(), sequence: 1, port: 0 })
    await upstream.listen()
    return upstream
  }

  async listen () {
    this.isUp = true
    this.server = http.createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = 10_000
    await new Promise(resolve => { this.server.listen(this.port, this.host, resolve) })
    this.port = this.server.address().port
  }

  row (service, zone, state = 'ready') {
    return { service, address: `${this.host}:${this.port}`, zone, version: 'v1', slots: 6, state, cold_remaining: '0ms', sequence: this.sequence++, born: this.born }
  }

  handle (request, response) {
    const parts = []
    request.on('error', () => {}).on('data', part => parts.push(part)).on('end', () => { this.run(request, response, Buffer.concat(parts)) })
  }

  run (request, response, body) {
    const id = request.headers['x-lovagehoist-request-id'] ?? ''
    response.setHeader('x-lovagehoist-request-id', id)
    if (request.headers['x-lovagehoist-expect-instance'] !== this.id) {
      response.writeHead(MISDIRECTED, { 'x-lovagehoist-instance-id': this.id }).end()
      return
    }
    const run = { id, atMs: performance.now(), method: request.method, path: request.url, body, headers: request.headers, from: request.socket.remoteAddress, upstream: this.id }
    this.arrivals.push(run)
    if (this.refuses(run)) {
      response.writeHead(503, { 'x-lovagehoist-not-executed': '1' }).end()
      return
    }
    this.runs.push(run)
    this.onRun(run, this)
    setTimeout(() => { if (!response.destroyed && this.isUp) this.answer(run, response, request) }, this.workMs(run))
  }

  bodyOf ({ id, path }) { return `answer of ${this.id} to ${id} ${path}` }

  sign (response) { return response.setHeader('x-lovagehoist-upstream-signature', `sig-${this.id}`) }

  answerWell (run, response) {
    const body = this.bodyOf(run)
    this.sign(response).writeHead(200, { 'content-length': Buffer.byteLength(body) }).end(body)
  }

  /** Ends like a process that is killed. */
  async stop () {
    this.isUp = false
    const closed = new Promise(resolve => { this.server.close(resolve) })
    this.server.closeAllConnections()
    await closed
  }
}
