import { expect } from 'chai'
import type { AttemptReport, OutcomeKind } from '@lovagehoist/common'
import { FakePeerNetwork, ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { PoisonRequests } from './poisonRequests.js'
import { SilentConnections } from './silentConnections.js'

const report = (outcome: OutcomeKind, change: Partial<AttemptReport> = {}): AttemptReport => ({
  target: fakeTarget('t0'), routeId: 'read', outcome, verdict: 'may-have-run', latencyMs: 100, fingerprint: 'common', isFreshConnection: true, isIdempotent: true, ...change
})

/** Two daemons that hear each other. */
const poisonBench = () => {
  const clock = ManualClock.create()
  const network = FakePeerNetwork.create(clock)
  const absolved: string[] = []
  const [first, second] = ['daemon-0', 'daemon-1'].map(instanceId => {
    const bus = network.join({ instanceId, startId: 's', region: 'local', availabilityZone: 'a' })
    return PoisonRequests.create({ clock, bus, onQuarantined: ids => { absolved.push(...ids) } })
  }) as [PoisonRequests, PoisonRequests]
  const die = (daemon: PoisonRequests, id: string, fingerprints: readonly string[]): void => {
    const target = fakeTarget(id)
    for (const fingerprint of fingerprints) daemon.add(report('reset', { target, fingerprint }))
    daemon.add(report('refused', { target, fingerprint: 'next', verdict: 'not-run' }))
  }
  const work = (daemon: PoisonRequests, fingerprint: string, count: number): void => {
    for (let index = 0; index < count; index++) daemon.add(report('ok', { fingerprint }))
  }
  return { clock, first, second, absolved, die, work }
}

describe('PoisonRequests', () => {
  it('stops a rare request that was there when two targets died, also where another daemon saw it', () => {
    const { first, second, absolved, die, work } = poisonBench()
    for (const daemon of [first, second]) for (let index = 0; index < 500; index++) work(daemon, `read-${index}`, 1)
    die(first, 't0', ['rare', 'read-1'])
    expect(first.isQuarantined('rare')).to.equal(false)
    die(second, 't1', ['rare', 'read-2'])
    expect([first.isQuarantined('rare'), second.isQuarantined('rare'), first.isQuarantined('read-1')]).to.deep.equal([true, true, false])
    expect(absolved).to.include.members(['t0', 't1'])
  })

  it('spares a common request that merely was there', () => {
    const { first, die, work } = poisonBench()
    work(first, 'common', 200)
    work(first, 'other', 200)
    for (const id of ['t0', 't1', 't2', 't3']) die(first, id, ['common'])
    expect(first.isQuarantined('common')).to.equal(false)
  })

  it('ends a quarantine', () => {
    const { clock, first, die, work } = poisonBench()
    for (let index = 0; index < 500; index++) work(first, `read-${index}`, 1)
    for (const id of ['t0', 't1']) die(first, id, ['rare'])
    expect(first.isQuarantined('rare')).to.equal(true)
    clock.jumpMs(600_000)
    expect(first.isQuarantined('rare')).to.equal(false)
  })
})

const silentBench = () => {
  const clock = ManualClock.create()
  clock.jumpMs(60_000)
  const events: string[] = []
  const silent = SilentConnections.create({
    clock,
    retire: id => { events.push(`retire ${id}`) },
    samePath: () => [fakeTarget('t1')],
    count: ({ target }) => { events.push(`count ${target.id}`) },
    onSilent: ({ id }) => { events.push(`silent ${id}`) }
  })
  return { clock, silent, events }
}

const timeout = report('timeout', { isFreshConnection: false, latencyMs: 1_000 })

describe('SilentConnections', () => {
  it('retires connections to the target and by the same path, and blames no target, when a fresh one works', () => {
    const { clock, silent, events } = silentBench()
    expect(silent.isCountable(timeout)).to.equal(false)
    clock.jumpMs(200)
    silent.isCountable(report('ok'))
    clock.jumpMs(5_000)
    silent.sweep()
    expect(events).to.deep.equal(['retire t0', 'silent t0', 'retire t1'])
  })

  it('blames the target when no fresh connection works, and when timeouts go on afterwards', () => {
    const { clock, silent, events } = silentBench()
    silent.isCountable(timeout)
    clock.jumpMs(3_000)
    silent.sweep()
    expect(events).to.deep.equal(['retire t0', 'count t0'])
    clock.jumpMs(2_000)
    expect(silent.isCountable(timeout)).to.equal(true)
  })
})
