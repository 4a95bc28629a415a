import { expect } from 'chai'
import { answerTo, findProcessFaults, findStopBreaches } from './stopOracle.js'
import type { ProcessEnd, StopCall, StopConditions, StopRun } from './stopOracle.js'

const STOP_MS = 10_000

const createCall = (change: Partial<StopCall> = {}): StopCall => ({
  requestId: 'c1',
  service: 'payments',
  isIdempotent: false,
  isKeptConnection: true,
  instanceId: 'gate-0',
  sentAtMs: STOP_MS + 100,
  lastByteAtMs: STOP_MS + 101,
  endedAtMs: STOP_MS + 2_000,
  status: 0,
  isSigned: false,
  answer: '',
  limitMs: 6_000,
  ...change
})

const createRun = (change: Partial<StopRun> = {}): StopRun =>
  ({ requestId: 'c1', service: 'payments', targetId: 't', atMs: STOP_MS + 110, endedAtMs: STOP_MS + 2_000, isAborted: true, ...change })

const ONE_STOP: StopConditions = { stopsOf: () => [STOP_MS], isInstanceFaultFree: () => true, isTargetFaultFree: () => true }

const breachKinds = (call: Partial<StopCall>, runs: readonly StopRun[] = [createRun()], conditions: Partial<StopConditions> = {}): readonly string[] =>
  findStopBreaches([createCall(call)], runs, { ...ONE_STOP, ...conditions }).map(({ kind }) => kind)

describe('findStopBreaches', () => {
  it('accepts whole answers, and requests that cross the close of a kept connection', () => {
    expect(breachKinds({ status: 200, isSigned: true, answer: answerTo('c1', 'payments') })).to.deep.equal([])
    expect(breachKinds({ endedAtMs: STOP_MS + 200 }, [])).to.deep.equal([])
  })

  it('reports requests that end without an answer, during a stop and at other times', () => {
    expect(breachKinds({})).to.deep.equal(['lost'])
    expect(breachKinds({}, [])).to.deep.equal(['unanswered'])
    expect(breachKinds({}, [createRun()], { stopsOf: () => [] })).to.deep.equal(['cut'])
    expect(breachKinds({ sentAtMs: STOP_MS + 3_100, endedAtMs: STOP_MS + 6_000 }, [createRun({ endedAtMs: undefined })])).to.deep.equal(['lost'])
  })

  it('excuses the end of the grace period, time limits and unplanned faults', () => {
    expect(breachKinds({ endedAtMs: STOP_MS + 5_900 }, [createRun({ endedAtMs: undefined })])).to.deep.equal([])
    expect(breachKinds({ limitMs: 1_900 })).to.deep.equal([])
    expect(breachKinds({}, [createRun()], { isInstanceFaultFree: () => false })).to.deep.equal([])
    expect(breachKinds({}, [createRun()], { isTargetFaultFree: () => false })).to.deep.equal([])
  })

  it('reports answers in place of a target at work, double runs, false refusals and wrong answers', () => {
    expect(breachKinds({ status: 502 })).to.deep.equal(['replaced'])
    expect(breachKinds({ status: 504, isSigned: true }, [createRun(), createRun({ targetId: 'u' })])).to.deep.equal(['double-run'])
    expect(breachKinds({ status: 503 }, [createRun({ isAborted: false })])).to.deep.equal(['false-not-run'])
    expect(breachKinds({ status: 200, isSigned: true, answer: 'another' })).to.deep.equal(['wrong-answer'])
    expect(breachKinds({ status: 200, isSigned: true, answer: answerTo('c1', 'payments') }, [createRun({ service: 'permits' })])).to.deep.equal(['wrong-service'])
  })
})

describe('findProcessFaults', () => {
  const isFault = (change: Partial<ProcessEnd>): boolean =>
    findProcessFaults([{ id: 'gate-0', exitCode: 0, startedAtMs: 0, exitedAtMs: 9_000, logFile: undefined, sentSignals: [], hasLogged: true, ...change }]).length === 1

  it('accepts ends that a signal from outside explains', () => {
    expect(isFault({ sentSignals: [{ name: 'SIGTERM', atMs: 1 }] })).to.equal(false)
    expect(isFault({ exitCode: 'SIGKILL', sentSignals: [{ name: 'SIGKILL', atMs: 1 }] })).to.equal(false)
    expect(isFault({ exitCode: 'SIGHUP', hasLogged: false })).to.equal(false)
  })

  it('reports processes that end by themselves, or with an error after a stop', () => {
    expect(isFault({})).to.equal(true)
    expect(isFault({ exitCode: 1, sentSignals: [{ name: 'SIGTERM', atMs: 1 }] })).to.equal(true)
    expect(isFault({ exitCode: 'SIGABRT' })).to.equal(true)
    expect(isFault({ exitCode: 'SIGHUP', sentSignals: [{ name: 'SIGHUP', atMs: 1 }] })).to.equal(true)
  })
})
