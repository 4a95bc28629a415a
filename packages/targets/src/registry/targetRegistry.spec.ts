import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { ReadTurn, maxListingAgeMs, SeededRandom, silentLog } from '@lovagehoist/common'
import type { ListedTarget, PlatformError, TargetListing } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { ListingPoller } from './listingPoller.js'
import { TargetRegistry } from './targetRegistry.js'

const listed = (id: string, change: Partial<ListedTarget> = {}): ListedTarget => ({ ...fakeTarget(id), service: 's', coldForMs: 0, ...change })
const listing = (storeVersion: number, targets: readonly ListedTarget[]): TargetListing => ({ storeVersion, targets, skipped: [] })

describe('TargetRegistry', () => {
  let clock: ManualClock
  let forgotten: string[]
  let registry: TargetRegistry

  const ids = (): readonly string[] => registry.activeTargets('s').map(({ target }) => target.id)

  /** Applies a listing that was just read, at intervals short enough that the store does not count as unavailable. */
  const read = async (version: number, targets: readonly ListedTarget[]): Promise<void> => {
    await clock.advanceMs(400)
    registry.apply(listing(version, targets), clock.monotonicMs())
  }

  beforeEach(async () => {
    clock = ManualClock.create()
    forgotten = []
    registry = TargetRegistry.create({ clock, log: silentLog, onForget: id => { forgotten.push(id) } })
    await read(1, [listed('t1'), listed('t2')])
    for (let version = 2; version < 10; version++) await read(version, [listed('t1'), listed('t2')])
  })

  it('excludes leaving and removed targets', async () => {
    await read(10, [listed('t1', { isLeaving: true }), listed('t2')])
    expect(ids()).to.deep.equal(['t2'])
    await read(11, [listed('t2')])
    expect(forgotten).to.deep.equal(['t1'])
  })

  it('ignores a listing older than the newest one', async () => {
    await read(12, [listed('t2')])
    await read(11, [listed('t1'), listed('t2')])
    expect(ids()).to.deep.equal(['t2'])
  })

  it('keeps targets whose entries expired during a store outage until they had time to register again', async () => {
    await clock.advanceMs(8_000)
    registry.apply(listing(20, []), clock.monotonicMs())
    expect(ids()).to.have.members(['t1', 't2'])
    await read(21, [listed('t2')])
    await clock.advanceMs(1_000)
    await read(22, [listed('t2')])
    expect(ids()).to.have.members(['t1', 't2'])
    await clock.advanceMs(700)
    await read(23, [listed('t2')])
    expect(ids()).to.deep.equal(['t2'])
    expect(forgotten).to.deep.equal(['t1'])
  })

  it('does not keep a leaving target whose entry expired', async () => {
    await read(10, [listed('t1', { isLeaving: true }), listed('t2')])
    await clock.advanceMs(8_000)
    registry.apply(listing(20, [listed('t2')]), clock.monotonicMs())
    expect(ids()).to.deep.equal(['t2'])
  })

  it('reports a target that restarted under the same ID as removed', async () => {
    await read(10, [listed('t1', { startedAtMs: 5 }), listed('t2')])
    expect(forgotten).to.deep.equal(['t1'])
    expect(ids()).to.have.members(['t1', 't2'])
  })

  it('computes the same digest for equal listings in any order', async () => {
    const { digest } = registry
    await read(10, [listed('t2'), listed('t1')])
    expect(registry.digest).to.equal(digest)
    await read(11, [listed('t2'), listed('t1', { isLeaving: true })])
    expect(registry.digest).to.not.equal(digest)
  })
})

describe('ListingPoller', () => {
  const countReads = async (rank: number, error?: PlatformError): Promise<number> => {
    const clock = ManualClock.create()
    const registry = TargetRegistry.create({ clock, log: silentLog, onForget: () => {} })
    let reads = 0
    const readTargets = async () => {
      reads++
      return error === undefined ? ok(listing(reads, [])) : err(error)
    }
    const stop = new AbortController()
    const random = SeededRandom.create(1)
    const readTurn = ReadTurn.create({ clock, random, maxAgeMs: maxListingAgeMs, boundMs: () => 2_000, relayRank: () => rank, zones: () => ['a'], zone: 'a', isOverdue: () => false, isAwaitingPeers: () => false, isHearingRelay: () => true, rankBehindRelays: () => 0 })
    ListingPoller.create({ store: { readTargets }, registry, boundMs: () => 2_000, readTurn, clock, random, log: silentLog }).run(stop.signal).catch(() => {})
    const confirm = async (): Promise<void> => {
      for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
        await clock.advanceMs(100)
        if (rank !== 0 && error === undefined) registry.confirm(clock.monotonicMs() - 200)
      }
    }
    await confirm()
    stop.abort()
    return reads
  }

  it('polls four times in three seconds as the reader of the fleet, and not at all while others confirm the listing', async () => {
    expect(await countReads(0)).to.be.within(12, 15)
    expect(await countReads(-1)).to.equal(0)
  })

  it('backs off while the store fails', async () => {
    expect(await countReads(0, { kind: 'unavailable', message: 'busy' })).to.be.below(14)
  })

  /** Requests arrive while nobody else reads; `readMs` is the time of a read, and without an answer it fails in the end. */
  const holdRequests = async (ageMs: number, readMs: number, requests: number, answers: boolean) => {
    const clock = ManualClock.create()
    const registry = TargetRegistry.create({ clock, log: silentLog, onForget: () => {} })
    registry.apply(listing(1, [listed('t1')]), 0)
    let reads = 0
    const readTargets = async () => {
      reads++
      await clock.sleepMs(readMs)
      return answers ? ok(listing(2, [listed('t1', { isLeaving: true })])) : err<never, PlatformError>({ kind: 'unavailable', message: 'silent' })
    }
    const poller = ListingPoller.create({ store: { readTargets }, registry, boundMs: () => 2_000, readTurn: { isDue: () => false, order: undefined }, clock, random: SeededRandom.create(1), log: silentLog })
    clock.jumpMs(ageMs)
    const heldMs: number[] = []
    const usable: boolean[] = []
    for (let index = 0; index < requests; index++) {
      const arrivedAtMs = clock.monotonicMs()
      poller.untilRecent().then(() => { heldMs.push(clock.monotonicMs() - arrivedAtMs) }, () => {})
      await clock.advanceMs(1)
      usable.push(!poller.isTooOld)
    }
    await clock.advanceMs(readMs + 100)
    if (!answers) expect(usable.slice(100)).to.deep.equal(usable.slice(100).map(() => true))
    return { reads, heldMs, isLeaving: registry.isLeaving('t1'), isTooOld: poller.isTooOld }
  }

  it('reads once for all requests that arrive while the listing is too old, and holds them until then', async () => {
    expect(await holdRequests(1_950, 5, 3, true)).to.deep.equal({ reads: 1, heldMs: [5, 4, 3], isLeaving: true, isTooOld: false })
    expect(await holdRequests(1_000, 5, 1, true)).to.deep.equal({ reads: 0, heldMs: [0], isLeaving: false, isTooOld: false })
  })

  it('holds requests for a moment only while the store is silent, then goes on without it', async () => {
    const { reads, heldMs, isTooOld } = await holdRequests(1_950, 1_200, 200, false)
    expect([reads, Math.max(...heldMs), heldMs.slice(110).every(ms => ms === 0), isTooOld]).to.deep.equal([1, 100, true, false])
  })
})
