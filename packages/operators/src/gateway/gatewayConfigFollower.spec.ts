import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ConfigSnapshot, ConfigWatchResult, GatewayConfig, PlatformResult } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { GatewayConfigFollower } from './gatewayConfigFollower.js'

const config = (version: number): GatewayConfig => ({ version, routes: [], services: [], limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 }, accounts: undefined })
const snapshot = (version: number, storeVersion: number): ConfigSnapshot => ({ storeVersion, config: config(version), text: `r${version}`, error: undefined })

describe('GatewayConfigFollower', () => {
  let clock: ManualClock
  let applied: number[]
  let watches: Array<() => PlatformResult<ConfigWatchResult>>
  let reads: Array<() => PlatformResult<ConfigSnapshot>>
  let follower: GatewayConfigFollower
  let stop: AbortController

  beforeEach(() => {
    clock = ManualClock.create()
    applied = []
    watches = []
    reads = []
    stop = new AbortController()
    const never = async <T>(): Promise<T> => await new Promise<T>(() => {})
    follower = GatewayConfigFollower.create({
      store: {
        readConfig: async () => await (reads.shift() ?? never)(),
        watchConfig: async () => await (watches.shift() ?? never)()
      },
      clock,
      random: SeededRandom.create(1),
      log: silentLog,
      readTurn: { isDue: () => true },
      isStoreDoubtful: () => false,
      onConfig: ({ version }) => { applied.push(version) }
    })
  })

  afterEach(() => { stop.abort() })

  const run = async (durationMs: number): Promise<void> => {
    follower.run(stop.signal).catch(() => {})
    await clock.advanceMs(durationMs)
  }

  it('applies configurations from reads and watches, in order', async () => {
    reads = [async () => ok(snapshot(2, 10))]
    watches = [async () => ok({ type: 'reading', snapshot: snapshot(5, 12) }), async () => ok({ type: 'unchanged', storeVersion: 13 })]
    await run(1_000)
    expect(applied).to.deep.equal([2, 5])
  })

  it('aborts a hanging watch and reads the configuration again when restarted after an outage', async () => {
    reads = [async () => ok(snapshot(1, 10)), async () => ok(snapshot(9, 20))]
    follower = GatewayConfigFollower.create({
      store: {
        readConfig: async () => await (reads.shift() ?? (async () => err({ kind: 'unavailable', message: 'none' })))(),
        watchConfig: async (_after, _waitMs, signal) => await new Promise(resolve => { signal.addEventListener('abort', () => { resolve(err({ kind: 'unavailable', message: 'aborted' })) }) })
      },
      clock,
      random: SeededRandom.create(1),
      log: silentLog,
      readTurn: { isDue: () => true },
      isStoreDoubtful: () => false,
      onConfig: ({ version }) => { applied.push(version) }
    })
    await run(500)
    expect(applied).to.deep.equal([1])
    follower.restart()
    await clock.advanceMs(100)
    expect(applied).to.deep.equal([1, 9])
  })

  it('ignores older and equal versions, whether from a peer or from the store', async () => {
    reads = [async () => ok(snapshot(7, 10))]
    await run(100)
    follower.applySnapshot(snapshot(6, 99), 'peer')
    follower.applySnapshot(snapshot(7, 99), 'store')
    expect(applied).to.deep.equal([7])
    expect(follower.version).to.equal(7)
  })

  it('reads the configuration again after a lost history and after a failed watch', async () => {
    reads = [async () => ok(snapshot(1, 10)), async () => ok(snapshot(2, 20)), async () => ok(snapshot(3, 30))]
    watches = [async () => ok({ type: 'history-lost' }), async () => err({ kind: 'unavailable', message: 'busy' })]
    await run(2_000)
    expect(applied).to.deep.equal([1, 2, 3])
  })

  it('keeps the last good configuration when a newer one cannot be decoded', async () => {
    reads = [async () => ok(snapshot(4, 10))]
    await run(100)
    follower.applySnapshot({ storeVersion: 11, config: undefined, text: undefined, error: 'routes.0.host: expected a text' }, 'store')
    expect(follower.version).to.equal(4)
    expect(follower.refusedCount).to.equal(1)
  })

  describe('with a watch whose connection has died unnoticed', () => {
    beforeEach(async () => {
      reads = [async () => ok(snapshot(1, 10))]
      watches = [async () => await new Promise<never>(() => {})]
      await run(100)
    })

    it('does not take the open watch for a confirmation', async () => {
      await clock.advanceMs(4_000)
      expect(follower.isWatching).to.equal(true)
      expect(follower.ownConfirmedAtMs).to.equal(0)
    })

    it('confirms nothing by a check that gets no response', async () => {
      follower.check()
      await clock.advanceMs(4_000)
      expect(follower.ownConfirmedAtMs).to.equal(0)
    })

    it('is confirmed by a check that finds nothing newer', async () => {
      await clock.advanceMs(900)
      watches = [async () => ok({ type: 'unchanged', storeVersion: 11 })]
      follower.check()
      await clock.advanceMs(100)
      expect(follower.ownConfirmedAtMs).to.equal(1_000)
    })

    it('applies a change that a check finds', async () => {
      watches = [async () => ok({ type: 'reading', snapshot: snapshot(2, 12) })]
      follower.check()
      await clock.advanceMs(100)
      expect(applied).to.deep.equal([1, 2])
    })
  })
})
