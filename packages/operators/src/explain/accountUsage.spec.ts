import { expect } from 'chai'
import { summarizeAccountUsage } from './accountUsage.js'

const at = (second: number): string => `2026-12-04T10:00:${String(second).padStart(2, '0')}.000Z`
const line = (second: number, instance: string, message: string, fields: object): string => `front | ${JSON.stringify({ at: at(second), instance, level: 'info', part: 'x', message, ...fields })}`
const limited = (second: number, instance: string): string => line(second, instance, 'account limited to its quota', { account: 'acme' })
const released = (second: number, instance: string): string => line(second, instance, 'account within its quota again', { account: 'acme' })
const refused = (second: number, account?: string): string => line(second, 'a-1', 'answered by the gateway', { problem: 'over-quota', account })
const periodsOf = (...lines: readonly string[]): unknown => summarizeAccountUsage([lines.join('\n')]).accounts[0]?.limitedPeriods

describe('summarizeAccountUsage', () => {
  it('counts over all files, in order of time, and a forwarded request once', () => {
    const first = [refused(9, 'acme'), line(1, 'a-1', 'answered', { requestId: 'r1', account: 'acme' }), line(2, 'a-1', 'answered', { requestId: 'r2' }), 'not a log line {']
    const second = [refused(3, 'acme'), line(1, 'b-1', 'answered', { requestId: 'r1', account: 'acme' }), line(4, 'b-1', 'answered', { requestId: 'r3', account: 'bare' }), refused(5), line(6, 'b-1', 'answered by the gateway', { problem: 'overload', account: 'bare' })]
    expect(summarizeAccountUsage([first.join('\n'), second.join('\n')])).to.deep.equal({
      accounts: [
        { account: 'acme', answered: 1, refused: 2, firstRefusedAt: at(3), lastRefusedAt: at(9), limitedPeriods: [] },
        { account: 'bare', answered: 1, refused: 0, firstRefusedAt: undefined, lastRefusedAt: undefined, limitedPeriods: [] }
      ],
      unknownKeys: [],
      unnamedRefusals: 1
    })
  })

  it('merges the limitation by several zones, also where a relay was replaced or the logs show only a part', () => {
    expect(periodsOf(limited(1, 'a-1'), limited(2, 'b-1'), released(3, 'a-1'), released(5, 'b-1'), limited(7, 'a-1'))).to.deep.equal([{ from: at(1), until: at(5) }, { from: at(7), until: undefined }])
    expect(periodsOf(limited(1, 'a-1'), released(4, 'a-2'))).to.deep.equal([{ from: at(1), until: at(4) }])
    expect(periodsOf(released(1, 'a-1'), released(2, 'b-1'))).to.deep.equal([{ from: undefined, until: at(2) }])
  })

  it('shows unknown keys by digest and never a longer text, which might be a key', () => {
    const lines = [line(1, 'b-1', 'unknown key refused', { keyDigest: '0a1b2c3d' }), line(2, 'a-1', 'unknown key refused', { keyDigest: '0a1b2c3d' }), line(3, 'a-1', 'unknown key refused', { keyDigest: 'a-whole-key' })]
    expect(summarizeAccountUsage(lines).unknownKeys).to.deep.equal([{ keyDigest: '0a1b2c3d', firstAt: at(1), lastAt: at(2), instances: ['a-1', 'b-1'] }])
  })
})
