import { expect } from 'chai'
import type { AttemptReport, OutcomeKind } from '@lovagehoist/common'
import { FakePeerNetwork, ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { PoisonRequests } from './poisonRequests.js'
import { SilentConnections } from './silentConnections.js'

const report = (outcome: OutcomeKind, change: Partial<AttemptReport> = {}): AttemptReport => ({
  target: fakeTarget('t0'), routeId: 'read', outcome, verdict: 'may-have-run', latencyMs: 100, fingerprint: 'common', isFreshConnection: true, isIdempotent: true, ...change
})

/** Creates two daemons connected by gossip, with helpers that simulate attempts. */
const createPoisonTest = () => {
  const clock = ManualClock.create()
  const network = FakePeerNetwork.create(clock)
  const exoneratedIds: string[] = []
  const [first, second] = ['daemon-0', 'daemon-1'].map(instanceId => {
    const bus = network.join({ instanceId, startId: 's', region: 'local', availabilityZone: 'a' })
    return PoisonRequests.create({ clock, bus, onQuarantined: ids => { exoneratedIds.push(...ids) } })
  }) as [PoisonRequests, PoisonRequests]
  const crashTarget = (daemon: PoisonRequests, id: string, fingerprints: readonly string[]): void => {
    const target = fakeTarget(id)
    for (const fingerprint of fingerprints) daemon.record(report('reset', { target, fingerprint }))
    daemon.record(report('refused', { target, fingerprint: 'next', verdict: 'not-run' }))
  }
  const recordSuccesses = (daemon: PoisonRequests, fingerprint: string, count: number): void => {
    for (let index = 0; index < count; index++) daemon.record(report('ok', { fingerprint }))
  }
  return { clock, first, second, exoneratedIds, crashTarget, recordSuccesses }
}

describe('PoisonRequests', () => {
  it('quarantines a rare request that was in flight when two targets crashed, also if another daemon saw one crash', () => {
    const { first, second, exoneratedIds, crashTarget, recordSuccesses } = createPoisonTest()
    for (const daemon of [first, second]) for (let index = 0; index < 500; index++) recordSuccesses(daemon, `read-${index}`, 1)
    crashTarget(first, 't0', ['rare', 'read-1'])
    expect(first.isQuarantined('rare')).to.equal(false)
    crashTarget(second, 't1', ['rare', 'read-2'])
    expect([first.isQuarantined('rare'), second.isQuarantined('rare'), first.isQuarantined('read-1')]).to.deep.equal([true, true, false])
    expect(exoneratedIds).to.include.members(['t0', 't1'])
  })

  it('does not quarantine a common request that was in flight by chance', () => {
    const { first, crashTarget, recordSuccesses } = createPoisonTest()
    recordSuccesses(first, 'common', 200)
    recordSuccesses(first, 'other', 200)
    for (const id of ['t0', 't1', 't2', 't3']) crashTarget(first, id, ['common'])
    expect(first.isQuarantined('common')).to.equal(false)
  })

  it('lifts the quarantine after its duration', () => {
    const { clock, first, crashTarget, recordSuccesses } = createPoisonTest()
    for (let index = 0; index < 500; index++) recordSuccesses(first, `read-${index}`, 1)
    for (const id of ['t0', 't1']) crashTarget(first, id, ['rare'])
    expect(first.isQuarantined('rare')).to.equal(true)
    clock.jumpMs(600_000)
    expect(first.isQuarantined('rare')).to.equal(false)
  })
})

const createSilentTest = () => {
  const clock = ManualClock.create()
  clock.jumpMs(60_000)
  const events: string[] = []
  const silent = SilentConnections.create({
    clock,
    closeIdleConnections: id => { events.push(`close ${id}`) },
    targetsOnSamePath: () => [fakeTarget('t1')],
    countReport: ({ target }) => { events.push(`count ${target.id}`) },
    onSilentConnections: ({ id }) => { events.push(`silent ${id}`) }
  })
  return { clock, silent, events }
}

const timeout = report('timeout', { isFreshConnection: false, latencyMs: 1_000 })

describe('SilentConnections', () => {
  it('closes idle connections to the target and on the same path, and counts no failure, when a fresh connection works', () => {
    const { clock, silent, events } = createSilentTest()
    expect(silent.shouldCountNow(timeout)).to.equal(false)
    clock.jumpMs(200)
    silent.shouldCountNow(report('ok'))
    clock.jumpMs(5_000)
    silent.finishTimedOutChecks()
    expect(events).to.deep.equal(['close t0', 'silent t0', 'close t1'])
  })

  it('counts the failures of the target when no fresh connection works, and when timeouts continue afterwards', () => {
    const { clock, silent, events } = createSilentTest()
    silent.shouldCountNow(timeout)
    clock.jumpMs(3_000)
    silent.finishTimedOutChecks()
    expect(events).to.deep.equal(['close t0', 'count t0'])
    clock.jumpMs(2_000)
    expect(silent.shouldCountNow(timeout)).to.equal(true)
  })
})
