import { expect } from 'chai'
import type { JournalEntry } from '../target/journal.js'
import { findBreaches } from './soakOracle.js'
import type { SoakRecord } from './workload.js'

const createRecord = (runId: string, change: Partial<SoakRecord>): SoakRecord =>
  ({ key: runId.split('.')[0] ?? '', runId, isIdempotent: false, status: 200, verdict: 'ran', isCorrect: true, latencyMs: 1, problem: '', ...change })

const createRun = (runId: string): JournalEntry => ({ runId, targetId: 't', method: 'POST', path: '/', bodyDigest: '', atMs: 0, status: 200 })

const breachKinds = (records: readonly SoakRecord[], journal: readonly JournalEntry[]): readonly string[] => findBreaches(records, journal).map(breach => breach.kind)

describe('findBreaches', () => {
  it('accepts work that ran once and got the correct response', () => {
    expect(breachKinds([createRecord('a.0', {})], [createRun('a.0')])).to.deep.equal([])
  })

  it('reports one key that ran under two run IDs', () => {
    expect(breachKinds([createRecord('a.0', { status: 0, verdict: undefined }), createRecord('a.1', {})], [createRun('a.0'), createRun('a.1')])).to.deep.equal(['duplicate-run'])
  })

  it('accepts a repeated idempotent request', () => {
    expect(breachKinds([createRecord('a.0', { isIdempotent: true })], [createRun('a.0'), createRun('a.0')])).to.deep.equal([])
  })

  it('reports a request that ran although its caller was told that it had not', () => {
    expect(breachKinds([createRecord('a.0', { status: 503, verdict: 'not-run' })], [createRun('a.0')])).to.deep.equal(['false-not-run'])
  })

  it('reports a response with wrong bytes', () => {
    expect(breachKinds([createRecord('a.0', { isCorrect: false })], [createRun('a.0')])).to.deep.equal(['wrong-answer'])
  })
})
