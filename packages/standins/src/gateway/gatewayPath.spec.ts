import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'

/** Sent more often than a limit of tries or a queue would hide a fault. */
/** Time after the begin of leaving from which no request is taken, and some more. */
const AFTER_TAKING_MS = 3_100
const MANY = 30
/** Ample for a failure to reach all daemons, and short against the time for which it is remembered. */
const SPREAD_MS = 1_500

describe('gateway, whole path', () => {
  let fleet: GatewayFleet

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's' }, { prefix: '/p/pay/', kind: 'unsafe', service: 's' }])
  })

  afterEach(async () => { await fleet.close() })

  it('passes method, path and body on and the answer back, with what is left of the time', async () => {
    const target = await fleet.addTarget('t1', 's')
    await fleet.addDaemon()
    const answer = await fleet.call({ path: '/p/pay/1?q=2', method: 'POST', body: 'money', requestId: 'r1', deadlineMs: 3_000 })
    expect(answer).to.include({ status: 200, body: 'from t1' })
    expect(answer.header('x-lovagehoist-upstream-signature')).to.equal('sig-t1')
    expect(target.runs[0]).to.include({ requestId: 'r1', path: '/p/pay/1?q=2', body: 'money' })
    expect(target.runs[0]?.deadlineMs).to.be.within(1_000, 3_000)
  })

  it('answers 404 only for routes that the configuration lacks, and 503 while it has none', async () => {
    fleet.store.remove('op', 'config')
    await fleet.addTarget('t1', 's')
    await fleet.addDaemon('a', false)
    const early = await fleet.call()
    expect(early.status).to.equal(503)
    expect(Number(early.header('retry-after'))).to.be.within(0.1, 2)
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's' }])
    await fleet.until(async () => await fleet.readiness(0) === 200)
    expect((await fleet.call()).status).to.equal(200)
    expect((await fleet.call({ path: '/none/x' })).status).to.equal(404)
  })

  for (const manner of ['error', 'reset', 'other-id', 'unsigned', 'coded'] as const) {
    it(`repeats a safe request elsewhere after an answer of the kind ${manner}, and never an unsafe one`, async () => {
      const sick = await fleet.addTarget('t1', 's')
      await fleet.addTarget('t2', 's')
      await fleet.addDaemon()
      sick.manner = manner
      for (let index = 0; index < MANY && sick.runs.length === 0; index++) expect((await fleet.call()).status).to.equal(200)
      fleet.targets.get('t2')?.runs.splice(0)
      const answer = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x', requestId: 'pay-1' })
      expect(fleet.runs().filter(({ requestId }) => requestId === 'pay-1')).to.have.length(1)
      expect(answer.status).to.be.oneOf([200, 500, 502])
    })
  }

  it('passes an answer without a length on without one, so that its end stays unproven', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.manner = 'unframed'
    await fleet.addDaemon()
    const answer = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
    expect(answer).to.include({ status: 200, body: 'unframed' })
    expect([answer.header('content-length'), answer.header('transfer-encoding')]).to.deep.equal([undefined, undefined])
    expect(answer.header('connection')).to.equal('close')
  })

  it('reports an answer without a length that was reset as failed', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.manner = 'unframed-reset'
    await fleet.addDaemon()
    expect((await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })).status).to.equal(502)
  })

  it('says that a refused request has not run, and that it has not', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.manner = 'refuse'
    await fleet.addDaemon()
    const answer = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
    expect(answer.status).to.equal(503)
    expect(Number(answer.header('retry-after'))).to.be.above(0)
    expect(target.runs).to.have.length(0)
  })

  it('never says so of a request that may have run', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.manner = 'reset'
    await fleet.addDaemon()
    const answer = await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
    expect(answer.status).to.equal(502)
    expect(target.runs).to.have.length(1)
  })

  it('answers when the time of the route is over, and cancels safe work of a caller that left', async () => {
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's', timeoutMs: 300 }, { prefix: '/long/', kind: 'safe', service: 's', timeoutMs: 5_000 }])
    const target = await fleet.addTarget('t1', 's')
    target.manner = 'hang'
    await fleet.addDaemon()
    const startedAtMs = fleet.clock.monotonicMs()
    expect((await fleet.call()).status).to.equal(504)
    expect(fleet.clock.monotonicMs() - startedAtMs).to.be.above(250)
    const leaving = new AbortController()
    const call = fleet.call({ path: '/long/x', requestId: 'left', signal: leaving.signal }).catch(() => 'left')
    await fleet.until(() => target.runs.some(({ requestId }) => requestId === 'left'))
    leaving.abort()
    expect(await call).to.equal('left')
    await fleet.until(() => target.runs.some(({ requestId, isCut }) => requestId === 'left' && isCut))
  })

  it('follows the configuration through a lost history, and never back', async () => {
    await fleet.addTarget('t1', 's')
    const other = await fleet.addTarget('t2', 'other')
    await fleet.addDaemon()
    fleet.store.dropHistory()
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 'other' }])
    await fleet.until(async () => (await fleet.call()).body === 'from t2')
    fleet.store.put('op', 'config', '{"version":"r1"}')
    fleet.store.put('op', 'config', 'not json')
    await fleet.until(() => fleet.lines.some(({ message }) => String(message).startsWith('configuration refused')))
    expect((await fleet.call()).body).to.equal('from t2')
    expect(other.runs.length).to.be.above(0)
  })

  it('gives no work to a target that is leaving or gone, and skips rows that it cannot read', async () => {
    const first = await fleet.addTarget('t1', 's')
    await fleet.addTarget('t2', 's')
    fleet.store.put('servers', 'foreign', '{"service":7}')
    await fleet.addDaemon()
    fleet.store.put('servers', 't1', first.entry('s', 'a', 'draining'))
    await fleet.until(() => fleet.lines.some(({ message, targetId }) => message === 'target leaving' && targetId === 't1'))
    const before = first.runs.length
    for (let index = 0; index < MANY; index++) expect((await fleet.call()).body).to.equal('from t2')
    expect(first.runs).to.have.length(before)
    expect(fleet.lines.some(({ message, targetId }) => message === 'skipped a target row' && targetId === 'foreign')).to.equal(true)
  })

  it('tells other daemons of a failing target, so that each caller of another daemon is served elsewhere', async () => {
    const sick = await fleet.addTarget('t1', 's')
    await fleet.addTarget('t2', 's')
    for (let index = 0; index < 3; index++) await fleet.addDaemon()
    await fleet.until(() => fleet.lines.filter(({ message }) => message === 'peer seen').length >= 4)
    sick.manner = 'error'
    await fleet.until(async () => {
      await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' })
      return sick.runs.length > 0
    })
    await fleet.clock.sleepMs(SPREAD_MS)
    const before = sick.runs.length
    for (const daemon of [1, 2]) expect((await fleet.call({ daemon, path: '/p/pay/1', method: 'POST', body: 'x' })).status).to.equal(200)
    expect(sick.runs).to.have.length(before)
  })

  it('starts while the store is away, from what another daemon holds', async () => {
    await fleet.addTarget('t1', 's')
    await fleet.addDaemon()
    fleet.store.setTrouble('busy')
    await fleet.addDaemon()
    expect((await fleet.call({ daemon: 1 })).body).to.equal('from t1')
    expect(fleet.lines.filter(({ instance }) => instance === 'gate-1').map(({ message }) => message)).to.include('store lost for the listing of targets')
  })

  it('cuts nothing when it drains', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.workMs = 300
    await fleet.addDaemon()
    const calls = Array.from({ length: 5 }, async () => await fleet.call({ path: '/p/pay/1', method: 'POST', body: 'x' }))
    await fleet.until(() => target.runs.length === 5)
    const drained = fleet.daemons[0]?.daemon.drain()
    expect(await fleet.readiness(0)).to.equal(503)
    expect((await fleet.call()).header('connection')).to.equal('close')
    expect((await Promise.all(calls)).map(({ status }) => status)).to.deep.equal([200, 200, 200, 200, 200])
    await drained
  })

  it('takes no request so late while it leaves that it would have to cut it', async () => {
    const target = await fleet.addTarget('t1', 's')
    await fleet.addDaemon()
    const kept = fleet.connect(0)
    expect((await kept.call()).status).to.equal(200)
    const drained = fleet.daemons[0]?.daemon.drain()
    await fleet.clock.sleepMs(AFTER_TAKING_MS)
    const before = target.runs.length
    const late = await kept.call({ path: '/p/pay/late', method: 'POST', body: 'x' })
    expect(late).to.include({ status: 503 })
    expect(late.header('retry-after')).to.equal('0.05')
    expect(late.header('connection')).to.equal('close')
    expect(target.runs).to.have.length(before)
    await kept.close()
    await drained
  })
})
