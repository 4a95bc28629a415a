import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { SeededRandom, murmurHash } from '@lovagehoist/common'
import type { GatewayConfig, GatewayRoute } from '@lovagehoist/common'
import { PoisonRequestDetector } from './poisonRequestDetector.js'
import type { TargetStart } from './poisonRequestDetector.js'
import { WindowedRetryBudget } from './windowedRetryBudget.js'
import { RouteIndex } from './routeIndex.js'
import { TrafficSplitter } from './trafficSplitter.js'

const route = (name: string, pathPrefix: string, change: Partial<GatewayRoute> = {}): GatewayRoute => ({
  name, host: 'h', pathPrefix, isIdempotent: true, timeoutMs: 1_000, objectiveMs: 500, priority: 1, maxAttempts: 2, isPublic: false, weightedServices: [{ service: 's', weight: 1 }], ...change
})

const config = (routes: readonly GatewayRoute[]): GatewayConfig =>
  ({ version: 1, routes, services: [], limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 }, accounts: undefined })

describe('RouteIndex', () => {
  const index = RouteIndex.create(config([route('short', '/a/'), route('long', '/a/b/'), route('root', '/', { host: 'other' })]))

  it('finds the longest matching prefix that ends with a slash', () => {
    expect(index.find('h', '/a/b/c')?.name).to.equal('long')
    expect(index.find('h', '/a/bc')?.name).to.equal('short')
    expect(index.find('h', '/a/b')?.name).to.equal('short')
    expect(index.find('h', '/a')).to.equal(undefined)
    expect(index.find('other', '/x/y')?.name).to.equal('root')
    expect(index.find('third', '/a/')).to.equal(undefined)
  })

  it('reports which priorities are outranked at a service', () => {
    const ranked = RouteIndex.create(config([route('pay', '/p/', { priority: 0 }), route('read', '/r/', { priority: 2 })]))
    expect([ranked.isOutranked('s', 0), ranked.isOutranked('s', 2), ranked.isOutranked('unused', 2)]).to.deep.equal([false, true, false])
    expect([ranked.rankOf('s', 0), ranked.rankOf('s', 2), ranked.rankOf('unused', 2)]).to.deep.equal([{ rank: 0, ranks: 2 }, { rank: 1, ranks: 2 }, { rank: 0, ranks: 1 }])
  })
})

describe('TrafficSplitter', () => {
  it('keeps the weights over a few requests on each of many daemons', () => {
    const split = route('split', '/s/', { weightedServices: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
    let small = 0
    for (let daemon = 0; daemon < 40; daemon++) {
      const splitter = TrafficSplitter.create(SeededRandom.create(murmurHash(`daemon-${daemon}`)))
      for (let index = 0; index < 6; index++) if (splitter.nextService(split) === 'b') small++
    }
    expect(small / 240).to.be.within(0.06, 0.14)
  })

  it('sends nothing to a service with weight 0', () => {
    const split = route('split', '/s/', { weightedServices: [{ service: 'a', weight: 1 }, { service: 'b', weight: 0 }] })
    const splitter = TrafficSplitter.create(SeededRandom.create(1))
    expect(new Set(Array.from({ length: 50 }, () => splitter.nextService(split)))).to.deep.equal(new Set(['a']))
  })
})

describe('WindowedRetryBudget', () => {
  const BOUNDS = { graceMs: 1, targetDrainMs: 2_000, configApplyMs: 2_000, retryShare: 0.2, retrySlack: 58, retryWindowMs: 10_000, floorShare: 0.7, keyRevocationMs: 5_000, isKeyRevocationStrict: false, quota: { windowMs: 5_000, overageShare: 0.1, slackRequests: 20 } }
  const FLEET = 36
  const REQUEST_MS = 300

  /** Lets every request of every daemon fail; returns the fleet's requests and retries in each step. */
  const failAll = (durationMs: number, isFirstStart: boolean): ReadonlyArray<{ readonly requests: number, readonly retries: number }> => {
    const clock = ManualClock.create()
    const daemons = Array.from({ length: FLEET }, () => WindowedRetryBudget.create({ clock, limits: () => BOUNDS, isFirstStart, fleetSize: () => FLEET }))
    const steps = []
    for (let passedMs = 0; passedMs < durationMs; passedMs += REQUEST_MS) {
      let retries = 0
      for (const daemon of daemons) {
        daemon.recordRequest('s')
        if (daemon.tryAcquire('s')) retries++
      }
      steps.push({ requests: FLEET, retries })
      clock.jumpMs(REQUEST_MS)
    }
    return steps
  }

  it('keeps the whole fleet within its budget in every window, and uses most of it', () => {
    const steps = failAll(40_000, true)
    const length = Math.floor(BOUNDS.retryWindowMs / REQUEST_MS)
    for (let begin = 0; begin + length <= steps.length; begin++) {
      const window = steps.slice(begin, begin + length)
      const requests = window.reduce((sum, step) => sum + step.requests, 0)
      const retries = window.reduce((sum, step) => sum + step.retries, 0)
      const limit = BOUNDS.retryShare * requests + BOUNDS.retrySlack
      expect(retries).to.be.at.most(limit)
      if (begin > length) expect(retries).to.be.above(limit * 0.7)
    }
  })

  it('grants a restarted process no slack that its predecessor may have used', () => {
    expect(failAll(300, false)[0]?.retries).to.equal(0)
    expect(failAll(300, true)[0]?.retries).to.equal(FLEET)
  })
})

describe('PoisonRequestDetector', () => {
  const BAD = { method: 'GET', path: '/bad?page=1', callerAddress: '10.0.0.1', body: undefined }
  const GOOD = { ...BAD, path: '/good' }
  const start = (id: string): TargetStart => ({ id, startedAtMs: 1 })
  const create = (): { readonly clock: ManualClock, readonly detector: PoisonRequestDetector } => {
    const clock = ManualClock.create()
    return { clock, detector: PoisonRequestDetector.create(clock) }
  }

  it('flags a request after crashes of three targets, here or in the fleet, and no other request', () => {
    const { clock, detector } = create()
    const other = PoisonRequestDetector.create(clock)
    detector.recordCrash(BAD, start('t1'))
    detector.recordCrash(BAD, start('t2'))
    other.recordCrash(BAD, start('t3'))
    expect(detector.isPoison(() => BAD)).to.equal(false)
    expect(detector.news.apply(other.news.collect('report', false), 'zone')).to.equal(true)
    expect(detector.isPoison(() => BAD)).to.equal(true)
    expect(detector.isPoison(() => GOOD)).to.equal(false)
    clock.jumpMs(601_000)
    expect(detector.isPoison(() => BAD)).to.equal(false)
  })

  it('forgets a suspicion after a minute', () => {
    const { clock, detector } = create()
    detector.recordCrash(BAD, start('t1'))
    detector.recordCrash(BAD, start('t2'))
    clock.jumpMs(61_000)
    detector.recordCrash(BAD, start('t3'))
    expect(detector.isPoison(() => BAD)).to.equal(false)
  })

  it('is not lowered by a daemon that knows of fewer crashes', () => {
    const { clock, detector } = create()
    const late = PoisonRequestDetector.create(clock)
    for (const id of ['t1', 't2', 't3']) detector.recordCrash(BAD, start(id))
    late.recordCrash(BAD, start('t1'))
    expect(detector.news.apply(late.news.collect('view', true), 'fleet')).to.equal(false)
    expect(detector.isPoison(() => BAD)).to.equal(true)
  })

  it('counts the crash of one start of a target once, whoever saw it and however often', () => {
    const { clock, detector } = create()
    const other = PoisonRequestDetector.create(clock)
    for (const daemon of [detector, other, detector]) for (const id of ['t1', 't2']) daemon.recordCrash(BAD, start(id))
    for (let repeat = 0; repeat < 3; repeat++) detector.news.apply(other.news.collect('report', true), 'zone')
    expect(detector.summarize(BAD).fingerprints.map(({ crashes }) => crashes)).to.deep.equal([2, 2, 2])
  })

  it('does not compute a fingerprint while no crashes are recorded', () => {
    const detector = PoisonRequestDetector.create(ManualClock.create())
    expect(detector.isPoison(() => { throw new Error('described') })).to.equal(false)
  })
})
