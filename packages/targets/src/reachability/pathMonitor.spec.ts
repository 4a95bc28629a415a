import { expect } from 'chai'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ListedTarget } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { PathMonitor } from './pathMonitor.js'

/** Time in which a check ends, whatever its result. */
const CHECK_MS = 500
const CONNECT_TIMEOUT_MS = 400

describe('PathMonitor', () => {
  let clock: ManualClock
  let monitor: PathMonitor
  let targets: readonly ListedTarget[]
  let unreachableIds: Set<string>
  let checkedIds: string[]
  let confirmedActions: number

  const target = (id: string, service: string, zone: string): ListedTarget => ({ ...fakeTarget(id), service, availabilityZone: zone, coldForMs: 0 })
  const failAll = (): void => { unreachableIds = new Set(targets.map(({ id }) => id)) }
  const cut = async (): Promise<void> => {
    failAll()
    monitor.recordConnect('t0', false)
    await clock.advanceMs(CHECK_MS)
  }

  beforeEach(async () => {
    clock = ManualClock.create()
    targets = ['a', 'b', 'c'].flatMap((zone, index) => [target(`t${2 * index}`, 'menus', zone), target(`t${2 * index + 1}`, 'orders', zone)])
    unreachableIds = new Set()
    checkedIds = []
    confirmedActions = 0
    monitor = PathMonitor.create({
      clock,
      random: SeededRandom.create(1),
      log: silentLog,
      targets: () => targets,
      checkConnect: ({ id }, onDone) => {
        checkedIds.push(id)
        const isOpened = !unreachableIds.has(id)
        clock.after(isOpened ? 1 : CONNECT_TIMEOUT_MS, () => { onDone(isOpened) })
      }
    })
    await clock.advanceMs(1_000)
  })

  const confirmLater = (): void => { monitor.afterConfirmation(() => { confirmedActions++ }) }

  it('takes a failure for that of the target when another target can be connected to', async () => {
    unreachableIds = new Set(['t0'])
    monitor.recordConnect('t0', false)
    confirmLater()
    expect(confirmedActions).to.equal(0)
    await clock.advanceMs(5)
    expect([monitor.state, confirmedActions, checkedIds.length]).to.deep.equal(['open', 1, 1])
    expect(checkedIds).not.to.include('t0')
  })

  it('takes the daemon for cut off within half a second when targets of all services and zones fail, and drops the evidence', async () => {
    failAll()
    monitor.recordConnect('t0', false)
    confirmLater()
    await clock.advanceMs(CHECK_MS)
    expect([monitor.state, confirmedActions]).to.deep.equal(['cut', 0])
    const checked = targets.filter(({ id }) => checkedIds.includes(id))
    expect([new Set(checked.map(({ service }) => service)).size, new Set(checked.map(({ availabilityZone }) => availabilityZone)).size]).to.deep.equal([2, 3])
    confirmLater()
    expect(confirmedActions).to.equal(0)
  })

  it('does not take the failure of the only target for a cut', async () => {
    targets = targets.slice(0, 1)
    await cut()
    expect(monitor.state).to.equal('open')
  })

  it('checks when connections break, and when requests wait while no target answers', async () => {
    failAll()
    monitor.recordDisconnect()
    await clock.advanceMs(CHECK_MS)
    expect(monitor.state).to.equal('cut')
  })

  it('suspects silence only when no target answers', async () => {
    monitor.recordAnswer()
    await clock.advanceMs(100)
    monitor.recordWaiting(5_000)
    expect(checkedIds).to.deep.equal([])
    await clock.advanceMs(1_000)
    failAll()
    monitor.recordWaiting(5_000)
    await clock.advanceMs(CHECK_MS)
    expect(monitor.state).to.equal('cut')
  })

  it('does not check again at once after a successful check', async () => {
    for (let index = 0; index < 5; index++) {
      monitor.recordConnect('t0', false)
      await clock.advanceMs(20)
    }
    expect(checkedIds).to.have.length(1)
  })

  it('knows that open connections live on when answers arrive after the cut', async () => {
    await cut()
    expect(monitor.areConnectionsAlive).to.equal(false)
    monitor.recordAnswer()
    expect(monitor.areConnectionsAlive).to.equal(true)
    await clock.advanceMs(2_000)
    expect(monitor.areConnectionsAlive).to.equal(false)
  })

  it('returns to its own path step by step after the cut', async () => {
    await cut()
    await clock.advanceMs(3_000)
    expect(monitor.state).to.equal('cut')
    unreachableIds = new Set()
    while (monitor.state === 'cut') await clock.advanceMs(50)
    const ownShare = (): number => Array.from({ length: 200 }, () => monitor.usesOwnPath()).filter(isOwn => isOwn).length / 200
    expect(ownShare()).to.be.below(0.1)
    await clock.advanceMs(1_000)
    expect(ownShare()).to.be.within(0.35, 0.65)
    await clock.advanceMs(1_100)
    expect(ownShare()).to.be.above(0.95)
    expect(monitor.state).to.equal('open')
  })

  it('is cut off again when the path breaks during the recovery', async () => {
    await cut()
    unreachableIds = new Set()
    while (monitor.state === 'cut') await clock.advanceMs(50)
    await clock.advanceMs(400)
    await cut()
    expect(monitor.state).to.equal('cut')
  })

  it('checks no more once it is closed, also when a check was in progress', async () => {
    await cut()
    monitor.close()
    await clock.advanceMs(CONNECT_TIMEOUT_MS)
    const before = checkedIds.length
    await clock.advanceMs(5_000)
    expect(checkedIds.length).to.equal(before)
  })
})
