import { expect } from 'chai'
import { findGatewayBreaches } from './gatewayOracle.js'
import type { SoakCall, SoakConditions, SoakRun } from './gatewayOracle.js'

const NO_FAULTS: SoakConditions = { publishedAtMs: () => 1_000, isStoreFaultFree: () => true, isInstanceFaultFree: () => true, isTargetFaultFree: () => true }

const createCall = (change: Partial<SoakCall> = {}): SoakCall => ({
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

const createRun = (change: Partial<SoakRun> = {}): SoakRun =>
  ({ requestId: 'c1', path: '/orders/c1', body: 'order c1', service: 'orders', targetId: 't', atMs: 10_050, targetLeftAtMs: undefined, ...change })

const createProbe = (change: Partial<SoakCall>): SoakCall => createCall({ requestId: 'p1', isIdempotent: true, service: 'menus', sinceVersion: 4, ...change })

const breachKinds = (calls: readonly SoakCall[], runs: readonly SoakRun[], conditions = NO_FAULTS): readonly string[] =>
  findGatewayBreaches(calls, runs, conditions).map(({ kind }) => kind)

describe('findGatewayBreaches', () => {
  it('accepts correct outcomes', () => {
    expect(breachKinds([createCall(), createCall({ requestId: 'c2', status: 503 })], [createRun()])).to.deep.equal([])
  })

  it('reports wrong responses, double runs, false refusals and changed requests', () => {
    expect(breachKinds([createCall({ answer: 'answer to c9 of orders' })], [createRun()])).to.deep.equal(['wrong-answer'])
    expect(breachKinds([createCall()], [createRun(), createRun({ targetId: 'u' })])).to.deep.equal(['double-run'])
    expect(breachKinds([createCall({ status: 503 })], [createRun()])).to.deep.equal(['false-not-run'])
    expect(breachKinds([createCall()], [createRun({ body: 'order c2' })])).to.deep.equal(['changed-on-the-way'])
    expect(breachKinds([createCall()], [createRun({ service: 'menus' })])).to.deep.equal(['changed-on-the-way'])
  })

  it('reports runs at a target after its drain period, unless there was a fault', () => {
    const late = createRun({ targetLeftAtMs: 8_000 })
    expect(breachKinds([createCall()], [late])).to.deep.equal(['run-after-drain'])
    expect(breachKinds([createCall()], [createRun({ targetLeftAtMs: 8_100 })])).to.deep.equal([])
    for (const condition of ['isStoreFaultFree', 'isInstanceFaultFree', 'isTargetFaultFree']) expect(breachKinds([createCall()], [late], { ...NO_FAULTS, [condition]: () => false })).to.deep.equal([])
  })

  it('reports aborted requests that ran, but not those that reached no target or whose daemon had a fault', () => {
    const aborted = createCall({ status: 0, answer: '' })
    expect(breachKinds([aborted], [createRun()])).to.deep.equal(['cut'])
    expect(breachKinds([aborted], [])).to.deep.equal([])
    expect(breachKinds([aborted], [createRun()], { ...NO_FAULTS, isInstanceFaultFree: () => false })).to.deep.equal([])
  })

  it('reports a configuration that is applied late or goes back to an older version', () => {
    const missing = createProbe({ status: 404, sentAtMs: 2_500 })
    expect(breachKinds([missing], [])).to.deep.equal([])
    expect(breachKinds([createProbe({ status: 404, sentAtMs: 3_500 })], [])).to.deep.equal(['config-late'])
    const served = createProbe({ requestId: 'p0', answer: 'answer to p0 of menus', answeredId: 'p0', sinceVersion: 5, sentAtMs: 1_900, endedAtMs: 2_000 })
    expect(breachKinds([served, missing], [])).to.deep.equal(['config-went-back'])
    expect(breachKinds([{ ...served, pid: 8 }, missing], [])).to.deep.equal([])
  })
})
