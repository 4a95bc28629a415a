import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'

/** Time after the start of a drain at which the daemon has surely stopped admitting requests. */
const ADMISSION_CLOSED_MS = 3_100
/** Enough that neither the attempt limit nor a queue can hide a fault. */
const REQUEST_COUNT = 30
/** Long enough for a failure report to reach all daemons, short compared with the time for which they keep it. */
const GOSSIP_SPREAD_MS = 1_500

describe('gateway, end to end', () => {
  let fleet: GatewayFleet

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's' }, { prefix: '/p/pay/', kind: 'unsafe', service: 's' }])
  })

  afterEach(async () => { await fleet.close() })

  it('forwards method, path, body and remaining deadline, and returns the response', async () => {
    const target = await fleet.addTarget('t1', 's')
    await fleet.addDaemon()
    const response = await fleet.call({ path: '/p/pay/1?q=2', method: 'POST', body: 'money', requestId: 'r1', deadlineMs: 3_000 })
    expect(response).to.include({ status: 200, body: 'from t1' })
    expect(response.header('x-lovagehoist-upstream-signature')).to.equal('sig-t1')
    expect(target.runs[0]).to.include({ requestId: 'r1', path: '/p/pay/1?q=2', body: 'money' })
    expect(target.runs[0]?.deadlineMs).to.be.within(1_000, 3_000)
  })

  it('answers 404 only for routes missing from the configuration, and 503 without a configuration', async () => {
    fleet.store.remove('op', 'config')
    await fleet.addTarget('t1', 's')
    await fleet.addDaemon('a', false)
    const early = await fleet.call()
    expect(early.status).to.equal(503)
    expect(Number(early.header('retry-after'))).to.be.within(0.1, 2)
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's' }])
    await fleet.waitUntil(async () => await fleet.readinessStatus(0) === 200)
    expect((await fleet.call()).status).to.equal(200)
    expect((await fleet.call({ path: '/none/x' })).status).to.equal(404)
  })

  for (const responseMode of ['error', 'reset', 'other-id', 'unsigned', 'coded'] as const) {
    it(`retries a safe request on another target after a response of kind ${responseMode}, and never an unsafe one`, async () => {
      const failingTarget = await fleet.addTarget('t1', 's')
      await fleet.addTarget('t2', 's')
      await fleet.addDaemon()
      failingTarget.responseMode = responseMode
      for (let index = 0; index < REQUEST_COUNT && failingTarget.runs.length === 0; index++) expect((await fleet.call()).status).to.equal(200)
      fleet.targets.get('t2')?.runs.splice(0)
      const response = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x', requestId: 'pay-1' })
      expect(fleet.runs().filter(({ requestId }) => requestId === 'pay-1')).to.have.length(1)
      expect(response.status).to.be.oneOf([200, 500, 502])
    })
  }

  it('forwards a close-delimited response with its length and keeps the connection, whose end would not tell that it is complete', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'unframed'
    await fleet.addDaemon()
    const response = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
    expect(response).to.include({ status: 200, body: 'unframed' })
    expect([response.header('content-length'), response.header('transfer-encoding')]).to.deep.equal(['8', undefined])
    expect(response.header('connection')).to.equal('keep-alive')
  })

  it('answers 502 when a close-delimited response ends in a reset', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'unframed-reset'
    await fleet.addDaemon()
    expect((await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })).status).to.equal(502)
  })

  it('answers 502 when a target ends before it has reset a close-delimited response, which an orderly close would make complete', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'unframed-reset'
    await fleet.addDaemon()
    const response = fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
    while (target.runs.length === 0) await fleet.clock.sleepMs(1)
    await fleet.clock.sleepMs(10)
    await target.close()
    expect((await response).status).to.equal(502)
  })

  it('answers 503 with retry-after when the target refused the request without running it', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'refuse'
    await fleet.addDaemon()
    const response = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
    expect(response.status).to.equal(503)
    expect(Number(response.header('retry-after'))).to.be.above(0)
    expect(target.runs).to.have.length(0)
  })

  it('answers 502 and does not retry when an unsafe request may have run', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'reset'
    await fleet.addDaemon()
    const response = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
    expect(response.status).to.equal(502)
    expect(target.runs).to.have.length(1)
  })

  it('answers 504 when the route times out, and cancels a safe request whose caller disconnected', async () => {
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's', timeoutMs: 300 }, { prefix: '/long/', kind: 'safe', service: 's', timeoutMs: 5_000 }])
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'hang'
    await fleet.addDaemon()
    const startedAtMs = fleet.clock.monotonicMs()
    expect((await fleet.call()).status).to.equal(504)
    expect(fleet.clock.monotonicMs() - startedAtMs).to.be.above(250)
    const abortController = new AbortController()
    const call = fleet.call({ path: '/long/x', requestId: 'left', signal: abortController.signal }).catch(() => 'left')
    await fleet.waitUntil(() => target.runs.some(({ requestId }) => requestId === 'left'))
    abortController.abort()
    expect(await call).to.equal('left')
    await fleet.waitUntil(() => target.runs.some(({ requestId, isAborted }) => requestId === 'left' && isAborted))
  })

  it('follows the configuration across a lost history, and never returns to an older version', async () => {
    await fleet.addTarget('t1', 's')
    const other = await fleet.addTarget('t2', 'other')
    await fleet.addDaemon()
    fleet.store.dropHistory()
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 'other' }])
    await fleet.waitUntil(async () => (await fleet.call()).body === 'from t2')
    fleet.store.put('op', 'config', '{"version":"r1"}')
    fleet.store.put('op', 'config', 'not json')
    await fleet.waitUntil(() => fleet.logLines.some(({ message }) => String(message).startsWith('configuration refused')))
    expect((await fleet.call()).body).to.equal('from t2')
    expect(other.runs.length).to.be.above(0)
  })

  it('sends no request to a draining target, and skips target rows that it cannot parse', async () => {
    const first = await fleet.addTarget('t1', 's')
    await fleet.addTarget('t2', 's')
    fleet.store.put('servers', 'foreign', '{"service":7}')
    await fleet.addDaemon()
    fleet.store.put('servers', 't1', first.createRow('s', 'a', 'draining'))
    await fleet.waitUntil(() => fleet.logLines.some(({ message, targetId }) => message === 'target leaving' && targetId === 't1'))
    const before = first.runs.length
    for (let index = 0; index < REQUEST_COUNT; index++) expect((await fleet.call()).body).to.equal('from t2')
    expect(first.runs).to.have.length(before)
    expect(fleet.logLines.some(({ message, targetId }) => message === 'skipped a target row' && targetId === 'foreign')).to.equal(true)
  })

  it('gossips a failing target, so that the other daemons avoid it', async () => {
    const failingTarget = await fleet.addTarget('t1', 's')
    await fleet.addTarget('t2', 's')
    for (let index = 0; index < 3; index++) await fleet.addDaemon()
    await fleet.waitUntil(() => fleet.logLines.filter(({ message }) => message === 'peer seen').length >= 4)
    failingTarget.responseMode = 'error'
    await fleet.waitUntil(async () => {
      await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
      return failingTarget.runs.length > 0
    })
    await fleet.clock.sleepMs(GOSSIP_SPREAD_MS)
    const before = failingTarget.runs.length
    for (const daemon of [1, 2]) expect((await fleet.call({ daemon, path: '/p/pay/1', method: 'POST', body: 'x' })).status).to.equal(200)
    expect(failingTarget.runs).to.have.length(before)
  })

  it('starts during a store outage with the listing and configuration of a peer', async () => {
    await fleet.addTarget('t1', 's')
    await fleet.addDaemon()
    fleet.store.setFault('busy')
    await fleet.addDaemon()
    expect((await fleet.call({ daemon: 1 })).body).to.equal('from t1')
    await fleet.waitUntil(() => fleet.logLines.some(({ instance, message }) => instance === 'gate-1' && message === 'store lost for the listing of targets'))
  })

  it('completes the requests in flight when it drains', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.workMs = 300
    await fleet.addDaemon()
    const calls = Array.from({ length: 5 }, async () => await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' }))
    await fleet.waitUntil(() => target.runs.length === 5)
    const drained = fleet.daemons[0]?.daemon.drain()
    expect(await fleet.readinessStatus(0)).to.equal(503)
    expect((await fleet.call()).header('connection')).to.equal('close')
    expect((await Promise.all(calls)).map(({ status }) => status)).to.deep.equal([200, 200, 200, 200, 200])
    await drained
  })

  it('refuses requests that arrive too late in a drain to complete', async () => {
    const target = await fleet.addTarget('t1', 's')
    await fleet.addDaemon()
    const connection = fleet.connect(0)
    expect((await connection.call()).status).to.equal(200)
    const drained = fleet.daemons[0]?.daemon.drain()
    await fleet.clock.sleepMs(ADMISSION_CLOSED_MS)
    const before = target.runs.length
    const late = await connection.call({ path: '/p/pay/late', method: 'POST', body: 'x' })
    expect(late).to.include({ status: 503 })
    expect(late.header('retry-after')).to.equal('0.05')
    expect(late.header('connection')).to.equal('close')
    expect(target.runs).to.have.length(before)
    await connection.close()
    await drained
  })

  it('logs when a target names a limit and when it names none any more', async () => {
    const target = await fleet.addTarget('t1', 's')
    await fleet.addDaemon()
    target.limitPerSecond = 2.5
    await fleet.call()
    target.limitPerSecond = undefined
    await fleet.waitUntil(async () => {
      await fleet.call()
      return fleet.logLines.some(({ message }) => message === 'target limit lifted')
    })
    const lines = fleet.logLines.filter(({ part }) => part === 'limits')
    expect(lines.map(({ message, targetId, perSecond, previousPerSecond }) => ({ message, targetId, perSecond, previousPerSecond }))).to.deep.equal([
      { message: 'target limit named', targetId: 't1', perSecond: 2.5, previousPerSecond: undefined },
      { message: 'target limit lifted', targetId: 't1', perSecond: undefined, previousPerSecond: 2.5 }
    ])
  })
})
