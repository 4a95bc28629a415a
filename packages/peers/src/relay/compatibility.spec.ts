import { expect } from 'chai'
import { decodeMessage, encodeMessage } from './messages.js'
import type { RelayMessage } from './messages.js'

/** Messages as build 4aba80d wrote them. */
const EARLIER_MESSAGES: Readonly<Record<RelayMessage['type'], string>> = {
  report: '{"jsonrpc":"2.0","method":"report","params":{"news":{"crashes":[["key","i-1 5",9]]},"limits":{"rows":[["i-1",2.5,10,20]],"demand":[["s",1.5]],"settled":[["i-1",3,1]]},"from":["edge-a-1","0123456789ab","10.1.0.18","a",0.5],"full":true,"leaving":false,"uptime":1234,"rows":[["i-1",2,30,1,5,6,700,4]]}}',
  zone: '{"jsonrpc":"2.0","method":"zone","params":{"news":{"crashes":[["key","i-1 5",9]]},"limits":{"rows":[["i-1",2.5,10,20]],"demand":[["s",1.5]]},"from":["edge-a-1","0123456789ab","10.1.0.18","a",0.5],"full":false,"rows":[["i-1",2,30,1,5,6,700,4]]}}',
  view: '{"jsonrpc":"2.0","method":"view","params":{"news":{"crashes":[["key","i-1 5",9]]},"limits":{"rows":[["i-1",2.5,10,20]],"permits":[["0123456789ab","i-1",2]]},"from":["edge-a-1","0123456789ab","10.1.0.18","a",0.5],"facts":[3,"abc",17,450],"rows":[["i-1",2,25,50,480,30]],"members":[["edge-a-1","0123456789ab","10.1.0.18","a",0.5]]}}'
}

type Json = Readonly<Record<string, unknown>>

const paramsOf = (bytes: Buffer | string): Json => (JSON.parse(bytes.toString()) as { readonly params: Json }).params

const decode = (text: string): RelayMessage => decodeMessage(Buffer.from(text)) as RelayMessage

/** Whether build 4aba80d reads a message: it requires these types, exactly five elements of an instance, and ignores other parameters. */
const isReadByEarlierBuild = (bytes: Buffer): boolean => {
  const { from, rows, facts, members = [] } = paramsOf(bytes) as { readonly from: unknown, readonly rows: unknown, readonly facts?: unknown, readonly members?: unknown }
  const isInstance = (value: unknown): boolean => Array.isArray(value) && value.length === 5 && value.slice(0, 4).every(part => typeof part === 'string') && typeof value[4] === 'number'
  const isRow = (row: unknown): boolean => Array.isArray(row) && typeof row[0] === 'string' && row.slice(1).every(part => Number.isFinite(part))
  const [configVersion, digest, version, ageMs] = (facts ?? [0, '', 0, 0]) as readonly unknown[]
  const areFacts = typeof configVersion === 'number' && typeof digest === 'string' && typeof version === 'number' && typeof ageMs === 'number'
  return isInstance(from) && Array.isArray(rows) && rows.every(isRow) && areFacts && (members as readonly unknown[]).every(isInstance)
}

describe('relay messages of different builds', () => {
  for (const type of ['report', 'zone', 'view'] as const) {
    it(`reads a ${type} of an earlier build`, () => {
      const message = decode(EARLIER_MESSAGES[type])
      expect(message.type).to.equal(type)
      expect(message.from).to.deep.equal({ instanceId: 'edge-a-1', startId: '0123456789ab', host: '10.1.0.18', availabilityZone: 'a', relayFitness: 0.5 })
      expect(message.news).to.deep.equal({ crashes: [['key', 'i-1 5', 9]] })
      expect(message.limits.limits).to.deep.equal([['i-1', { perSecond: 2.5, sentAgeMs: 10, namedAgeMs: 20 }]])
    })

    it(`writes a ${type} that an earlier build reads alike`, () => {
      const parts = encodeMessage(decode(EARLIER_MESSAGES[type]))
      expect(parts.every(isReadByEarlierBuild)).to.equal(true)
      const earlier = paramsOf(EARLIER_MESSAGES[type])
      const { rows, from, news, limits, members } = paramsOf(parts[0] ?? '')
      expect({ rows, from, news, limits, members }).to.deep.equal({ rows: earlier.rows, from: earlier.from, news: earlier.news, limits: earlier.limits, members: earlier.members })
    })
  }

  it('do not pass the configuration of an earlier build for a recent one, since it does not tell the age', () => {
    const view = decode(EARLIER_MESSAGES.view)
    expect(view.type === 'view' && view.heldVersions.configAgeMs).to.be.above(1_000_000)
    const report = decode(EARLIER_MESSAGES.report)
    expect(report.type === 'report' && report.heldVersions).to.equal(undefined)
  })

  it('are read when a newer build adds parameters, elements of an instance, facts or columns', () => {
    const view = { ...paramsOf(EARLIER_MESSAGES.view), from: ['edge-a-1', 's', '10.1.0.18', 'a', 0.5, 'build-9'], facts: [3, 'abc', 17, 450, 20, 'era'], rows: [['i-1', 2, 25, 50, 480, 30, 99]], extra: { any: 1 } }
    const message = decode(JSON.stringify({ jsonrpc: '2.0', method: 'view', params: view }))
    expect(message.type === 'view' && message.stats[0]?.[1].inProgress).to.equal(2)
    expect(message.from.instanceId).to.equal('edge-a-1')
  })

  it('cut into parts say full with the last part alone, which is all that an earlier build reads', () => {
    const report = decode(EARLIER_MESSAGES.report)
    if (report.type !== 'report') throw new Error('expected a report')
    const counters = Array.from({ length: 100 }, (_, index) => [`i-${index}`, report.counters[0]?.[1]] as const)
    const parts = encodeMessage({ ...report, counters } as RelayMessage, 1).map(bytes => paramsOf(bytes).full)
    expect(parts).to.deep.equal(parts.map((_, index) => index === parts.length - 1))
  })
})
