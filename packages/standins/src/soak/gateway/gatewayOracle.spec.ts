import { expect } from 'chai'
import { findGatewayBreaches } from './gatewayOracle.js'
import type { SoakCall, SoakConditions, SoakRun } from './gatewayOracle.js'

const CALM: SoakConditions = { changedAtMs: () => 1_000, isStoreCalm: () => true, isInstanceCalm: () => true, isTargetCalm: () => true }

const call = (change: Partial<SoakCall> = {}): SoakCall => ({
  requestId: 'c1',
  path: '/orders/c1',
  body: 'order c1',
  isIdempotent: false,
  service: 'orders',
  sinceVersion: undefined,
  instanceId: 'gate-0',
  pid: 7,
  sentAtMs: 10_000,
  endedAtMs: 10_100,
  status: 200,
  answer: 'answer to c1 of orders',
  answeredId: 'c1',
  ...change
})

const run = (change: Partial<SoakRun> = {}): SoakRun =>
  ({ requestId: 'c1', path: '/orders/c1', body: 'order c1', service: 'orders', targetId: 't', atMs: 10_050, targetLeftAtMs: undefined, ...change })

const probe = (change: Partial<SoakCall>): SoakCall => call({ requestId: 'p1', isIdempotent: true, service: 'menus', sinceVersion: 4, ...change })

const kinds = (calls: readonly SoakCall[], runs: readonly SoakRun[], conditions = CALM): readonly string[] =>
  findGatewayBreaches(calls, runs, conditions).map(({ kind }) => kind)

describe('oracle of the gateway soak', () => {
  it('finds nothing in what is right', () => {
    expect(kinds([call(), call({ requestId: 'c2', status: 503 })], [run()])).to.deep.equal([])
  })

  it('finds answers of others, double runs, false refusals and changed requests', () => {
    expect(kinds([call({ answer: 'answer to c9 of orders' })], [run()])).to.deep.equal(['wrong-answer'])
    expect(kinds([call()], [run(), run({ targetId: 'u' })])).to.deep.equal(['double-run'])
    expect(kinds([call({ status: 503 })], [run()])).to.deep.equal(['false-not-run'])
    expect(kinds([call()], [run({ body: 'order c2' })])).to.deep.equal(['changed-on-the-way'])
    expect(kinds([call()], [run({ service: 'menus' })])).to.deep.equal(['changed-on-the-way'])
  })

  it('finds work for a target that has left, unless something was in trouble', () => {
    const late = run({ targetLeftAtMs: 8_000 })
    expect(kinds([call()], [late])).to.deep.equal(['run-after-drain'])
    expect(kinds([call()], [run({ targetLeftAtMs: 8_100 })])).to.deep.equal([])
    for (const trouble of ['isStoreCalm', 'isInstanceCalm', 'isTargetCalm']) expect(kinds([call()], [late], { ...CALM, [trouble]: () => false })).to.deep.equal([])
  })

  it('finds cut requests that ran, but none that never left the daemon or that a killed process had', () => {
    const cut = call({ status: 0, answer: '' })
    expect(kinds([cut], [run()])).to.deep.equal(['cut'])
    expect(kinds([cut], [])).to.deep.equal([])
    expect(kinds([cut], [run()], { ...CALM, isInstanceCalm: () => false })).to.deep.equal([])
  })

  it('finds a configuration that is late or went back', () => {
    const missing = probe({ status: 404, sentAtMs: 2_500 })
    expect(kinds([missing], [])).to.deep.equal([])
    expect(kinds([probe({ status: 404, sentAtMs: 3_500 })], [])).to.deep.equal(['config-late'])
    const served = probe({ requestId: 'p0', answer: 'answer to p0 of menus', answeredId: 'p0', sinceVersion: 5, sentAtMs: 1_900, endedAtMs: 2_000 })
    expect(kinds([served, missing], [])).to.deep.equal(['config-went-back'])
    expect(kinds([{ ...served, pid: 8 }, missing], [])).to.deep.equal([])
  })
})
