import { expect } from 'chai'
import { GatewayFleet } from './gatewayFleet.js'

const DAEMONS = 3
const TARGETS = 8
const CRASH_PATH = '/p/crash'
const ALLOWED_CRASHES = 3
/** Requests of different callers have less in common; the platform's rules allow three retries after the third crash. */
const CRASHES_OF_DIFFERENT_CALLERS = 5
/** Time in which all daemons have heard of a crash. */
const SPREAD_MS = 400

describe('requests that crash targets, end to end', () => {
  let fleet: GatewayFleet

  const crashedTargets = (): number => [...fleet.targets.values()].filter(({ crashedAtMs }) => crashedAtMs !== undefined).length

  const addTargets = async (from: number, to: number): Promise<void> => {
    for (let index = from; index < to; index++) (await fleet.addTarget(`t${index}`, 's')).crashesUnder = path => path.startsWith(CRASH_PATH)
  }

  /** Waits until both daemons have logged an event of a target. */
  const untilBothLog = async (message: string, targetId: string): Promise<void> => {
    await fleet.waitUntil(() => fleet.logLines.filter(line => line.message === message && line.targetId === targetId).length === 2)
  }

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'safe', service: 's' }])
  })

  afterEach(async () => { await fleet.close() })

  it('stops such a request at all daemons and serves others', async () => {
    await addTargets(0, TARGETS)
    for (let index = 0; index < DAEMONS; index++) await fleet.addDaemon()
    const statuses: number[] = []
    for (let index = 0; index < 2 * DAEMONS; index++) {
      statuses.push((await fleet.call({ daemon: index % DAEMONS, path: CRASH_PATH })).status)
      await fleet.clock.sleepMs(SPREAD_MS)
    }
    expect(crashedTargets()).to.equal(ALLOWED_CRASHES)
    expect(statuses.slice(-DAEMONS)).to.deep.equal([503, 503, 503])
    for (let index = 0; index < DAEMONS; index++) expect((await fleet.call({ daemon: index, path: '/p/other' })).status).to.equal(200)
  })

  for (const { differing, crashes, pathOf, hostOf } of [
    { differing: 'queries', crashes: ALLOWED_CRASHES, pathOf: (index: number) => `${CRASH_PATH}?page=${index}`, hostOf: () => '127.0.0.50' },
    { differing: 'addresses of the caller', crashes: CRASHES_OF_DIFFERENT_CALLERS, pathOf: () => CRASH_PATH, hostOf: (index: number) => `127.0.0.${50 + index}` }
  ]) {
    it(`recognizes repetitions with differing ${differing}`, async () => {
      await addTargets(0, TARGETS)
      await fleet.addDaemon()
      for (let index = 0; index < 2 * DAEMONS; index++) await fleet.call({ path: pathOf(index), callerHost: hostOf(index) })
      expect(crashedTargets()).to.equal(crashes)
    })
  }

  for (const crashMode of ['mid-answer', 'silent'] as const) {
    it(`counts a crash whose request sees it as ${crashMode}`, async () => {
      await addTargets(0, TARGETS)
      for (const target of fleet.targets.values()) target.crashMode = crashMode
      await fleet.addDaemon()
      for (let index = 0; index < TARGETS; index++) {
        await fleet.call({ path: CRASH_PATH, deadlineMs: 400 })
        const counted = Math.min(index + 1, ALLOWED_CRASHES)
        await fleet.waitUntil(() => fleet.logLines.filter(({ message }) => message === 'target crashed under a request').length >= counted)
      }
      expect(crashedTargets()).to.equal(ALLOWED_CRASHES)
    })
  }

  it('does not stop what is asked of a path at which another request crashes targets', async () => {
    await addTargets(0, TARGETS)
    for (const target of fleet.targets.values()) target.crashesUnder = path => path === `${CRASH_PATH}?page=bad`
    await fleet.addDaemon()
    const statuses: number[] = []
    for (let index = 0; index < 2 * DAEMONS; index++) {
      await fleet.call({ path: `${CRASH_PATH}?page=bad` })
      statuses.push((await fleet.call({ path: `${CRASH_PATH}?page=good` })).status)
    }
    expect(crashedTargets()).to.equal(ALLOWED_CRASHES)
    expect(statuses).to.deep.equal(statuses.map(() => 200))
  })

  it('does not stop a request that targets reset without crashing', async () => {
    await addTargets(0, TARGETS)
    await fleet.addDaemon()
    for (const target of fleet.targets.values()) target.responseMode = 'reset'
    for (let index = 0; index < TARGETS; index++) await fleet.call({ path: '/p/innocent' })
    for (const target of fleet.targets.values()) target.responseMode = 'well'
    expect((await fleet.call({ path: '/p/innocent' })).status).to.equal(200)
  })

  it('does not send a request on that became known to crash targets while it was at one', async () => {
    await addTargets(0, 1)
    for (let index = 0; index < 2; index++) await fleet.addDaemon()
    const slow = fleet.targets.get('t0')
    if (slow !== undefined) slow.workMs = 3_000
    const early = fleet.call({ daemon: 0, path: CRASH_PATH })
    await fleet.waitUntil(() => slow?.runs.length === 1)
    fleet.store.remove('servers', 't0')
    await addTargets(1, TARGETS)
    await untilBothLog('target gone', 't0')
    await untilBothLog('target seen', `t${TARGETS - 1}`)
    await fleet.waitUntil(async () => (await fleet.call({ daemon: 1, path: CRASH_PATH })).status === 503)
    const response = await early
    expect([response.status, response.header('lovagehoist-verdict')]).to.deep.equal([502, 'may-have-run'])
    expect(crashedTargets()).to.equal(ALLOWED_CRASHES + 1)
  })
})
