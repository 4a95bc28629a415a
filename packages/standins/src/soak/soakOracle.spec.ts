import { expect } from 'chai'
import type { JournalEntry } from '../target/journal.js'
import { findBreaches } from './soakOracle.js'
import type { SoakRecord } from './workload.js'

const record = (runId: string, change: Partial<SoakRecord>): SoakRecord =>
  ({ key: runId.split('.')[0] ?? '', runId, isIdempotent: false, status: 200, verdict: 'ran', isRight: true, latencyMs: 1, problem: '', ...change })

const run = (runId: string): JournalEntry => ({ runId, targetId: 't', method: 'POST', path: '/', bodyDigest: '', atMs: 0, status: 200 })

const kindsOf = (records: readonly SoakRecord[], journal: readonly JournalEntry[]): readonly string[] => findBreaches(records, journal).map(breach => breach.kind)

describe('findBreaches', () => {
  it('accepts work that ran once and was answered right', () => {
    expect(kindsOf([record('a.0', {})], [run('a.0')])).to.deep.equal([])
  })

  it('finds one key that ran under two run ids', () => {
    expect(kindsOf([record('a.0', { status: 0, verdict: undefined }), record('a.1', {})], [run('a.0'), run('a.1')])).to.deep.equal(['duplicate-run'])
  })

  it('accepts a repeated look-up', () => {
    expect(kindsOf([record('a.0', { isIdempotent: true })], [run('a.0'), run('a.0')])).to.deep.equal([])
  })

  it('finds a request that ran although its caller was told otherwise', () => {
    expect(kindsOf([record('a.0', { status: 503, verdict: 'not-run' })], [run('a.0')])).to.deep.equal(['false-not-run'])
  })

  it('finds an answer with other bytes', () => {
    expect(kindsOf([record('a.0', { isRight: false })], [run('a.0')])).to.deep.equal(['wrong-answer'])
  })
})
