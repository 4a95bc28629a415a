import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'
import type { CallResponse } from './gatewayFleet.js'

const CALL_INTERVAL_MS = 20
const REST_MS = 2_000
/** Time after a refusal from which requests that reach the target count; from the platform's rules. */
const UNCOUNTED_MS = 500
/** Time after an answer that a target leaves, from which no request may reach it; from the platform's rules. */
const DRAIN_PERIOD_MS = 2_000

describe('targets that ask for rest', () => {
  let fleet: GatewayFleet

  const callFor = async (durationMs: number, daemons = 1): Promise<readonly CallResponse[]> => {
    const calls: Array<Promise<CallResponse>> = []
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CALL_INTERVAL_MS) {
      calls.push(fleet.call({ daemon: calls.length % daemons, path: '/p/pay/1', method: 'POST', body: 'x' }))
      await fleet.clock.sleepMs(CALL_INTERVAL_MS)
    }
    return await Promise.all(calls)
  }

  const targetOf = (id: string) => {
    const target = fleet.targets.get(id)
    if (target === undefined) throw new Error(`no target ${id}`)
    return target
  }

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'unsafe', service: 's', maxAttempts: 3 }])
    for (const id of ['t1', 't2']) (await fleet.addTarget(id, 's')).workMs = 5
    await fleet.addDaemon()
  })

  afterEach(async () => { await fleet.close() })

  /** Lets a target ask for rest; returns the times at which requests reached it, in milliseconds after its first refusal. */
  const restOf = async (id: string, retryAfter: readonly string[], durationMs = REST_MS): Promise<readonly number[]> => {
    const target = targetOf(id)
    target.responseMode = 'refuse'
    target.retryAfter = retryAfter
    target.arrivals.splice(0)
    await callFor(durationMs)
    const [first] = target.arrivals
    return target.arrivals.map(({ atMs }) => atMs - (first?.atMs ?? 0))
  }

  it('get no request of a daemon until the rest has ended', async () => {
    const arrivals = await restOf('t1', [String(REST_MS / 1_000)])
    expect(arrivals.length).to.be.at.least(1)
    expect(arrivals.filter(atMs => atMs > UNCOUNTED_MS && atMs < REST_MS)).to.deep.equal([])
  })

  it('are used again soon after their rest, with few requests at first', async () => {
    await restOf('t1', ['0.4'], 200)
    const target = targetOf('t1')
    target.responseMode = 'well'
    target.workMs = 100
    target.arrivals.splice(0)
    const responses = await callFor(1_500)
    const [first] = target.arrivals
    expect(target.arrivals.length).to.be.at.least(1)
    expect(target.arrivals.filter(({ atMs }) => atMs < (first?.atMs ?? 0) + target.workMs)).to.have.length(1)
    expect(responses.every(({ status }) => status === 200)).to.equal(true)
  })

  it('keep the latest end of several rests, and the longest of several fields', async () => {
    const arrivals = await restOf('t1', ['0.1', String(REST_MS / 1_000)])
    expect(arrivals.filter(atMs => atMs > UNCOUNTED_MS && atMs < REST_MS)).to.deep.equal([])
  })

  for (const value of ['', '-3', 'soon', 'Wed, 21 Oct 2093 07:28:00 GMT', '1e3', '9'.repeat(500), '0']) {
    it(`are not put to rest by ${JSON.stringify(value.slice(0, 20))}`, async () => {
      targetOf('t2').responseMode = 'refuse'
      await restOf('t1', [value], 100)
      targetOf('t1').responseMode = 'well'
      const responses = await callFor(600)
      expect(responses.filter(({ status }) => status === 200).length).to.be.above(responses.length / 2)
    })
  }

  it('make requests be refused at once as not run when all rest, with a time of return after the earliest end', async () => {
    for (const id of ['t1', 't2']) {
      targetOf(id).responseMode = 'refuse'
      targetOf(id).retryAfter = ['1.5']
    }
    await callFor(200)
    const [early] = [targetOf('t1'), targetOf('t2')].map(({ arrivals }) => arrivals.length)
    const responses = await callFor(500)
    expect(targetOf('t1').arrivals.length).to.equal(early)
    expect(responses.every(({ status, header }) => status === 503 && header('lovagehoist-verdict') === 'not-run')).to.equal(true)
    const delays = responses.map(({ header }) => Number(header('retry-after')))
    expect(Math.min(...delays)).to.be.at.least(0.5)
    expect(Math.max(...delays) - Math.min(...delays)).to.be.at.least(0.3)
  })
})

describe('targets that say in an answer that they leave', () => {
  let fleet: GatewayFleet

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's', maxAttempts: 3 }])
    for (const id of ['t1', 't2']) await fleet.addTarget(id, 's')
    for (let index = 0; index < 3; index++) await fleet.addDaemon()
  })

  afterEach(async () => { await fleet.close() })

  const callAll = async (): Promise<readonly CallResponse[]> => await Promise.all(fleet.daemons.map(async (_, daemon) => await fleet.call({ daemon })))

  for (const responseMode of ['well', 'error', 'refuse', 'unframed-reset'] as const) {
    it(`get no further request, although they are listed as ready (${responseMode})`, async () => {
      const leaving = fleet.targets.get('t1')
      if (leaving !== undefined) {
        leaving.saysLeaving = true
        leaving.responseMode = responseMode
      }
      await fleet.waitUntil(async () => {
        await callAll()
        return (leaving?.arrivals.length ?? 0) > 0
      })
      const firstAtMs = leaving?.arrivals[0]?.atMs ?? 0
      for (let elapsedMs = 0; elapsedMs < DRAIN_PERIOD_MS + 500; elapsedMs += 50) {
        await callAll()
        await fleet.clock.sleepMs(50)
      }
      expect(leaving?.arrivals.filter(({ atMs }) => atMs > firstAtMs + DRAIN_PERIOD_MS)).to.deep.equal([])
      expect((await callAll()).every(({ status }) => status === 200)).to.equal(true)
    })
  }

  it('get no request of a daemon that starts later', async () => {
    const leaving = fleet.targets.get('t1')
    if (leaving !== undefined) leaving.saysLeaving = true
    await fleet.waitUntil(async () => {
      await callAll()
      return (leaving?.arrivals.length ?? 0) > 0
    })
    await fleet.clock.sleepMs(DRAIN_PERIOD_MS)
    await fleet.addDaemon()
    leaving?.arrivals.splice(0)
    for (let index = 0; index < 20; index++) await fleet.call({ daemon: 3 })
    expect(leaving?.arrivals).to.deep.equal([])
  })

  it('make requests be refused as not run once all have left', async () => {
    for (const target of fleet.targets.values()) target.saysLeaving = true
    for (let round = 0; round < 5; round++) await callAll()
    await fleet.clock.sleepMs(DRAIN_PERIOD_MS)
    const responses = await callAll()
    expect(responses.map(({ status, header }) => [status, header('lovagehoist-verdict')])).to.deep.equal(responses.map(() => [503, 'not-run']))
  })
})
