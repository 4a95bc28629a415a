import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ListedTarget, PlatformError, TargetListing } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { ListingFollower } from './listingFollower.js'
import { TargetRoster } from './targetRoster.js'

const listed = (id: string, change: Partial<ListedTarget> = {}): ListedTarget => ({ ...fakeTarget(id), service: 's', coldForMs: 0, ...change })
const listing = (storeVersion: number, targets: readonly ListedTarget[]): TargetListing => ({ storeVersion, targets, skipped: [] })

describe('target roster', () => {
  let clock: ManualClock
  let forgotten: string[]
  let roster: TargetRoster

  const ids = (): readonly string[] => roster.ofService('s').map(({ target }) => target.id)

  /** Applies a listing that was just read, in steps small enough for a steady store. */
  const read = async (version: number, targets: readonly ListedTarget[]): Promise<void> => {
    await clock.advanceMs(400)
    roster.apply(listing(version, targets), clock.monotonicMs())
  }

  beforeEach(async () => {
    clock = ManualClock.create()
    forgotten = []
    roster = TargetRoster.create({ clock, log: silentLog, onForget: id => { forgotten.push(id) } })
    await read(1, [listed('t1'), listed('t2')])
    for (let version = 2; version < 10; version++) await read(version, [listed('t1'), listed('t2')])
  })

  it('gives no work to a target that is leaving or gone', async () => {
    await read(10, [listed('t1', { isLeaving: true }), listed('t2')])
    expect(ids()).to.deep.equal(['t2'])
    await read(11, [listed('t2')])
    expect(forgotten).to.deep.equal(['t1'])
  })

  it('leaves out a listing that is older than the newest', async () => {
    await read(12, [listed('t2')])
    await read(11, [listed('t1'), listed('t2')])
    expect(ids()).to.deep.equal(['t2'])
  })

  it('keeps what lapsed with the store until it had time to return, then drops it', async () => {
    await clock.advanceMs(8_000)
    roster.apply(listing(20, []), clock.monotonicMs())
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

  it('does not keep a leaving target that lapsed', async () => {
    await read(10, [listed('t1', { isLeaving: true }), listed('t2')])
    await clock.advanceMs(8_000)
    roster.apply(listing(20, [listed('t2')]), clock.monotonicMs())
    expect(ids()).to.deep.equal(['t2'])
  })

  it('forgets what it knew of a target that started anew under its id', async () => {
    await read(10, [listed('t1', { startedAtMs: 5 }), listed('t2')])
    expect(forgotten).to.deep.equal(['t1'])
    expect(ids()).to.have.members(['t1', 't2'])
  })

  it('has one digest for equal listings in any order', async () => {
    const { digest } = roster
    await read(10, [listed('t2'), listed('t1')])
    expect(roster.digest).to.equal(digest)
    await read(11, [listed('t2'), listed('t1', { isLeaving: true })])
    expect(roster.digest).to.not.equal(digest)
  })
})

describe('listing follower', () => {
  const countReads = async (rank: number, error?: PlatformError): Promise<number> => {
    const clock = ManualClock.create()
    const roster = TargetRoster.create({ clock, log: silentLog, onForget: () => {} })
    let reads = 0
    const readTargets = async () => {
      reads++
      return error === undefined ? ok(listing(reads, [])) : err(error)
    }
    const stop = new AbortController()
    ListingFollower.create({ store: { readTargets }, roster, relayRank: () => rank, clock, random: SeededRandom.create(1), log: silentLog }).run(stop.signal).catch(() => {})
    const confirm = async (): Promise<void> => {
      for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
        await clock.advanceMs(100)
        if (rank !== 0 && error === undefined) roster.confirm(clock.monotonicMs() - 200)
      }
    }
    await confirm()
    stop.abort()
    return reads
  }

  it('reads about two and a half times a second as the first relay, and once while others confirm the listing', async () => {
    expect(await countReads(0)).to.be.within(18, 30)
    expect(await countReads(-1)).to.equal(1)
  })

  it('reads ever less often while the store fails', async () => {
    expect(await countReads(0, { kind: 'unavailable', message: 'busy' })).to.be.below(16)
  })
})
