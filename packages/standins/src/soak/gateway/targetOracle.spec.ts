import { expect } from 'chai'
import type { SoakCall, SoakRun } from './gatewayOracle.js'
import { CRASH_PREFIX, findCrashBreaches, findDepartureBreaches } from './targetOracle.js'

const runAt = (atMs: number, path = '/menus/x'): SoakRun => ({ requestId: 'r', path, body: '', service: 'menus', targetId: 't', atMs, targetLeftAtMs: undefined })
const crashesAt = (...times: readonly number[]): readonly SoakRun[] => times.map(atMs => runAt(atMs, `${CRASH_PREFIX}1`))

describe('oracle of targets that leave and requests that crash targets', () => {
  const departures = [{ targetId: 't', saidAtMs: 1_000 }]

  it('finds runs later than the drain period, unless a daemon was impaired', () => {
    expect(findDepartureBreaches(departures, [runAt(3_000)], () => true)).to.deep.equal([])
    expect(findDepartureBreaches(departures, [runAt(3_001)], () => true).map(({ kind }) => kind)).to.deep.equal(['run-after-leaving'])
    expect(findDepartureBreaches(departures, [runAt(3_001)], () => false)).to.deep.equal([])
  })

  it('finds more than three retries later than the stability window after the third crash', () => {
    expect(findCrashBreaches([], crashesAt(0, 1, 2, 4_000, 4_001, 4_002), () => true)).to.deep.equal([])
    expect(findCrashBreaches([], crashesAt(0, 1, 2, 4_000, 4_001, 4_002, 4_003), () => true).map(({ kind }) => kind)).to.deep.equal(['crashing-request-sent-on'])
    expect(findCrashBreaches([], crashesAt(0, 1, 2, 3, 4, 5, 6, 7), () => true)).to.deep.equal([])
    expect(findCrashBreaches([], crashesAt(0, 1, 2, 4_000, 4_001, 4_002, 4_003), () => false)).to.deep.equal([])
  })

  it('finds callers whose ordinary requests were stopped', () => {
    const call = { answer: '{"type":"urn:lovagehoist:problem:quarantined"}' } as unknown as SoakCall
    expect(findCrashBreaches([call], [], () => true).map(({ kind }) => kind)).to.deep.equal(['falsely-quarantined'])
  })
})
