import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { SeededRandom, murmurHash } from '@lovagehoist/common'
import type { GatewayConfig, GatewayRoute } from '@lovagehoist/common'
import { PoisonWatch } from './poisonWatch.js'
import { RetryAllowance } from './retryAllowance.js'
import { RouteIndex } from './routeIndex.js'
import { ShareCursor } from './shareCursor.js'

const route = (name: string, pathPrefix: string, change: Partial<GatewayRoute> = {}): GatewayRoute => ({
  name, host: 'h', pathPrefix, isIdempotent: true, timeoutMs: 1_000, objectiveMs: 500, priority: 1, maxAttempts: 2, weightedServices: [{ service: 's', weight: 1 }], ...change
})

const config = (routes: readonly GatewayRoute[]): GatewayConfig =>
  ({ version: 1, routes, services: [], limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 } })

describe('route index', () => {
  const index = RouteIndex.create(config([route('short', '/a/'), route('long', '/a/b/'), route('root', '/', { host: 'other' })]))

  it('finds the longest prefix that ends at a slash', () => {
    expect(index.find('h', '/a/b/c')?.name).to.equal('long')
    expect(index.find('h', '/a/bc')?.name).to.equal('short')
    expect(index.find('h', '/a/b')?.name).to.equal('short')
    expect(index.find('h', '/a')).to.equal(undefined)
    expect(index.find('other', '/x/y')?.name).to.equal('root')
    expect(index.find('third', '/a/')).to.equal(undefined)
  })

  it('knows which routes yield at a service', () => {
    const ranked = RouteIndex.create(config([route('pay', '/p/', { priority: 0 }), route('read', '/r/', { priority: 2 })]))
    expect([ranked.yields('s', 0), ranked.yields('s', 2), ranked.yields('unused', 2)]).to.deep.equal([false, true, false])
  })
})

describe('share cursor', () => {
  it('keeps the weights over few requests of many daemons', () => {
    const split = route('split', '/s/', { weightedServices: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
    let small = 0
    for (let daemon = 0; daemon < 40; daemon++) {
      const cursor = ShareCursor.create(SeededRandom.create(murmurHash(`daemon-${daemon}`)))
      for (let index = 0; index < 6; index++) if (cursor.next(split) === 'b') small++
    }
    expect(small / 240).to.be.within(0.06, 0.14)
  })

  it('gives nothing to a service without weight', () => {
    const split = route('split', '/s/', { weightedServices: [{ service: 'a', weight: 1 }, { service: 'b', weight: 0 }] })
    const cursor = ShareCursor.create(SeededRandom.create(1))
    expect(new Set(Array.from({ length: 50 }, () => cursor.next(split)))).to.deep.equal(new Set(['a']))
  })
})

describe('retry allowance', () => {
  const BOUNDS = { graceMs: 1, retryShare: 0.2, retrySlack: 58, retryWindowMs: 10_000 }
  const FLEET = 36
  const REQUEST_MS = 300

  /** Lets every request of every daemon fail; gives requests and repeats of the fleet in each step. */
  const failAll = (durationMs: number, isFirstStart: boolean): ReadonlyArray<{ readonly requests: number, readonly repeats: number }> => {
    const clock = ManualClock.create()
    const daemons = Array.from({ length: FLEET }, () => RetryAllowance.create({ clock, bounds: () => BOUNDS, isFirstStart, fleetSize: () => FLEET }))
    const steps = []
    for (let passedMs = 0; passedMs < durationMs; passedMs += REQUEST_MS) {
      let repeats = 0
      for (const daemon of daemons) {
        daemon.earn('s')
        if (daemon.spend('s')) repeats++
      }
      steps.push({ requests: FLEET, repeats })
      clock.jumpMs(REQUEST_MS)
    }
    return steps
  }

  it('keeps the whole fleet inside its budget in every window, and uses most of it', () => {
    const steps = failAll(40_000, true)
    const length = Math.floor(BOUNDS.retryWindowMs / REQUEST_MS)
    for (let begin = 0; begin + length <= steps.length; begin++) {
      const window = steps.slice(begin, begin + length)
      const requests = window.reduce((sum, step) => sum + step.requests, 0)
      const repeats = window.reduce((sum, step) => sum + step.repeats, 0)
      const limit = BOUNDS.retryShare * requests + BOUNDS.retrySlack
      expect(repeats).to.be.at.most(limit)
      if (begin > length) expect(repeats).to.be.above(limit * 0.7)
    }
  })

  it('gives a process that has just started no slack that its predecessor may have spent', () => {
    expect(failAll(300, false)[0]?.repeats).to.equal(0)
    expect(failAll(300, true)[0]?.repeats).to.equal(FLEET)
  })
})

describe('poison watch', () => {
  it('stops a request after three crashes, here or in the fleet, and no other', () => {
    const clock = ManualClock.create()
    const watch = PoisonWatch.create(clock)
    watch.noteCrash('GET /bad')
    watch.noteCrash('GET /bad')
    expect(watch.isStopped(() => 'GET /bad')).to.equal(false)
    watch.takeFleetCrashes(watch.takeCrashes().map(([fingerprint]) => [fingerprint, 3]))
    expect(watch.isStopped(() => 'GET /bad')).to.equal(true)
    expect(watch.isStopped(() => 'GET /good')).to.equal(false)
    clock.jumpMs(61_000)
    expect(watch.isStopped(() => 'GET /bad')).to.equal(false)
  })

  it('describes no request while there are no suspects', () => {
    const watch = PoisonWatch.create(ManualClock.create())
    expect(watch.isStopped(() => { throw new Error('described') })).to.equal(false)
  })
})
