import { connect } from 'node:net'
import { expect } from 'chai'
import { request } from 'undici'
import { Caller } from '../load/caller.js'
import { measuredDocument } from '../measure/documents.js'
import { InProcessFleet } from './inProcessFleet.js'

const document = measuredDocument({ burnbook: { plannedTargets: 2, slotsPerTarget: 6, floorSlots: 6 } })

const rawExchange = async (port: number, text: string): Promise<string> => await new Promise((resolve, reject) => {
  const socket = connect(port, '127.0.0.1', () => { socket.write(text) })
  const chunks: Buffer[] = []
  socket.on('data', chunk => { chunks.push(chunk) })
  socket.on('close', () => { resolve(Buffer.concat(chunks).toString('latin1')) })
  socket.on('error', reject)
})

describe('request path, end to end', () => {
  let fleet: InProcessFleet
  let caller: Caller

  beforeEach(async () => {
    fleet = await InProcessFleet.create()
    await fleet.addTarget('burnbook')
    await fleet.addTarget('burnbook')
    await fleet.promote(document)
    await fleet.addDaemon()
    caller = Caller.create(fleet.clock)
  })

  afterEach(async () => {
    await caller.close()
    await fleet.close()
    expect(fleet.breaches).to.deep.equal([])
  })

  const url = (): string => fleet.daemons[0] === undefined ? '' : fleet.urlOf(fleet.daemons[0])

  it('returns the complete response of each request to its own caller', async () => {
    const results = await Promise.all(Array.from({ length: 40 }, async (_, index) => index % 2 === 0
      ? await caller.send({ baseUrl: url(), method: 'GET', path: '/burnbook/read/x', runId: `r${index}`, headers: { 'x-answer-bytes': String(64 + index * 5_000) } })
      : await caller.send({ baseUrl: url(), method: 'POST', path: '/burnbook/pay/x', runId: `r${index}`, body: `payout ${index}` })))
    expect(results.map(({ status, verdict, isCorrect }) => ({ status, verdict, isCorrect })))
      .to.deep.equal(results.map(() => ({ status: 200, verdict: 'ran', isCorrect: true })))
    expect(fleet.targets.flatMap(target => target.journal)).to.have.length(results.length)
  })

  it('rejects a request without a matching route and contacts no target', async () => {
    const response = await request(`${url()}/nowhere`)
    expect(response.statusCode).to.equal(404)
    expect(response.headers['lovagehoist-verdict']).to.equal('not-run')
    expect(response.headers['content-type']).to.equal('application/problem+json')
    await response.body.dump()
    expect(fleet.targets.flatMap(target => target.journal)).to.deep.equal([])
  })

  it('answers callers that end their half of the connection after the request', async () => {
    const halfClose = async (index: number): Promise<string> => await new Promise((resolve, reject) => {
      const socket = connect({ port: fleet.daemons[0]?.ports.callers ?? 0, host: '127.0.0.1', allowHalfOpen: true }, () => { socket.end(`GET /burnbook/read/${index} HTTP/1.1\r\nHost: a\r\n\r\n`) })
      let text = ''
      socket.on('data', data => { text += data.toString('latin1') }).on('close', () => { resolve(text) }).on('error', reject)
    })
    const answers = await Promise.all(Array.from({ length: 20 }, async (_, index) => await halfClose(index)))
    expect(answers.filter(text => /^(HTTP\/1.1 100 Continue\r\n\r\n)*HTTP\/1.1 200 /.test(text))).to.have.length(20)
  })

  it('rejects a request with ambiguous length (Content-Length and Transfer-Encoding) and contacts no target', async () => {
    const text = 'POST /burnbook/pay/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /burnbook/read/y HTTP/1.1\r\nHost: a\r\n\r\n'
    expect(await rawExchange(fleet.daemons[0]?.ports.callers ?? 0, text)).to.match(/^HTTP\/1.1 400 /)
    expect(fleet.targets.flatMap(target => target.journal)).to.deep.equal([])
  })

  it('serves readiness, metrics and a state dump on the admin port', async () => {
    const admin = `http://127.0.0.1:${fleet.daemons[0]?.ports.admin ?? 0}`
    expect((await request(`${admin}/ready`)).statusCode).to.equal(200)
    expect(await (await request(`${admin}/metrics`)).body.text()).to.include('lovagehoist_invariant_breaches_total')
    const dump = await (await request(`${admin}/dump`)).body.json() as { readonly config: { readonly version: number } }
    expect(dump.config.version).to.equal(1)
  })

  it('completes a request in flight while draining', async () => {
    const running = caller.send({ baseUrl: url(), method: 'POST', path: '/burnbook/pay/x', runId: 'slow', body: 'x', headers: { 'x-work-ms': '200' } })
    while (fleet.targets.every(target => target.journal.length === 0)) await fleet.clock.sleepMs(1)
    const drained = fleet.daemons[0]?.drain()
    expect(await running).to.include({ status: 200, isCorrect: true })
    await drained
  })
})
