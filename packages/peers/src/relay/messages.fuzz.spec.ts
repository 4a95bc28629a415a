import { expect } from 'chai'
import fc from 'fast-check'
import { FullPartTracker } from './fullPartTracker.js'
import { decodeMessage, encodeMessage } from './messages.js'
import type { RelayMessage, ZoneTotals } from './messages.js'

const SEED = 41
const RUNS = 300

const count = fc.nat(1_000_000)
const percent = fc.nat(100).map(value => value / 100)
const instance = fc.record({ instanceId: fc.string(), startId: fc.string(), host: fc.ipV4(), availabilityZone: fc.string(), relayFitness: percent })
const targetCounters = fc.record({ inProgress: count, succeeded: count, failed: count, failedEarly: count, refused: count, latencySquares: count, failedLate: count })
const counters = fc.array(fc.tuple(fc.string(), targetCounters))
const targetStats = fc.record({ inProgress: count, failingChance: percent, refusalShare: percent, latencyMs: count, idleMs: count })
const news = fc.dictionary(fc.constantFrom('crashes', 'other'), fc.array(fc.tuple(fc.string(), count, fc.string()), { minLength: 1 }))
const rate = fc.nat(10_000).map(value => value / 100)
const limits = fc.array(fc.tuple(fc.string(), fc.record({ perSecond: fc.option(rate, { nil: undefined }), sentAgeMs: count, namedAgeMs: count })))
const demand = fc.array(fc.tuple(fc.string(), rate))
const permits = fc.array(fc.tuple(fc.string(), fc.string(), fc.nat(1_000)))
const message: fc.Arbitrary<RelayMessage> = fc.oneof(
  fc.record({ type: fc.constant('report' as const), from: instance, isFull: fc.boolean(), isLeaving: fc.boolean(), uptimeMs: count, ownReads: fc.record({ listingAgeMs: count, configAgeMs: count }), counters, news, limits: fc.record({ limits, demand, settled: fc.array(fc.tuple(fc.string(), fc.record({ used: count, unused: count }))) }) }),
  fc.record({ type: fc.constant('zone' as const), from: instance, isFull: fc.boolean(), counters, news, limits: fc.record({ limits, demand }) }),
  fc.record({
    type: fc.constant('view' as const),
    from: instance,
    heldVersions: fc.record({ configVersion: count, listingDigest: fc.string(), listingVersion: fc.integer({ min: -1, max: 1_000_000 }), listingAgeMs: count, configAgeMs: count }),
    stats: fc.array(fc.tuple(fc.string(), targetStats)),
    news,
    limits: fc.record({ limits, permits }),
    members: fc.array(instance)
  })
)

const MAX_BYTES = 1_200

type Lists = Readonly<Record<string, readonly unknown[]>>

const mergeLists = (parts: readonly Lists[]): Lists => {
  const names = new Set(parts.flatMap(part => Object.keys(part)))
  return Object.fromEntries([...names].map(name => [name, parts.flatMap(part => part[name] ?? [])]).filter(([, list]) => (list ?? []).length > 0))
}

/** What a receiver of all parts knows; the demand is repeated in each part. */
const merge = (parts: readonly RelayMessage[]): unknown => {
  const [first, ...others] = parts as ReadonlyArray<Record<string, unknown> & RelayMessage>
  const { demand, ...limits } = (first?.limits ?? {}) as Lists
  const lists = ['counters', 'stats', 'members'].filter(name => first?.[name] !== undefined)
  const { fullPart, ...head } = first as { readonly fullPart?: unknown }
  return {
    ...head,
    isFull: undefined,
    ...Object.fromEntries(lists.map(name => [name, parts.flatMap(part => (part as unknown as Lists)[name] ?? [])])),
    news: mergeLists(parts.map(({ news }) => news)),
    limits: { demand, ...mergeLists([limits, ...others.map(other => ({ ...other.limits as unknown as Lists, demand: [] }))]) }
  }
}

describe('relay messages (fuzz)', () => {
  it('survive encoding, splitting and decoding unchanged', () => {
    fc.assert(fc.property(message, sent => {
      const parts = encodeMessage(sent, 7).map(bytes => decodeMessage(bytes) as RelayMessage)
      expect(merge(parts)).to.deep.equal(merge([sent]))
    }), { seed: SEED, numRuns: RUNS })
  })

  it('fit into one packet each, however many targets a message names', () => {
    const from = { instanceId: 'edge-a-1', startId: '0123456789ab', host: '10.1.0.18', availabilityZone: 'a', relayFitness: 1 }
    const counters = Array.from({ length: 6_500 }, (_, index) => [`i-${String(index).padStart(10, '0')}`, { inProgress: 2, succeeded: 9_999, failed: 1, failedLate: 1, failedEarly: 1, refused: 1, latencySquares: 9_999_999 }] as const)
    const parts = encodeMessage({ type: 'report', from, isFull: true, isLeaving: false, uptimeMs: 1, counters, news: {}, limits: { limits: [], demand: [], settled: [] } })
    expect(Math.max(...parts.map(({ length }) => length))).to.be.at.most(MAX_BYTES + 60)
  })

  it('count as full only when all parts have arrived, in any order', () => {
    const from = { instanceId: 'edge-a-1', startId: 's', host: '10.1.0.18', availabilityZone: 'a', relayFitness: 1 }
    const counters = Array.from({ length: 100 }, (_, index) => [`t${index}`, { inProgress: 0, succeeded: 1, failed: 0, failedLate: 0, failedEarly: 0, refused: 0, latencySquares: 0 }] as const)
    const parts = encodeMessage({ type: 'zone', from, isFull: true, counters, news: {}, limits: { limits: [], demand: [] } }, 3).map(bytes => decodeMessage(bytes) as ZoneTotals)
    const tracker = FullPartTracker.create()
    expect(parts.toReversed().map(part => tracker.isWhole('s', part))).to.deep.equal(parts.map((_, index) => index === parts.length - 1))
    expect(tracker.isWhole('s', parts.at(-1) as ZoneTotals)).to.equal(false)
  })

  it('never make decoding throw, whatever the bytes or the JSON', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => { decodeMessage(bytes) }), { seed: SEED, numRuns: RUNS })
    const params = fc.dictionary(fc.constantFrom('from', 'rows', 'facts', 'members', 'news', 'limits', 'full'), fc.jsonValue())
    const envelope = fc.record({ method: fc.constantFrom('report', 'zone', 'view', 'toString', '__proto__'), params })
    fc.assert(fc.property(envelope, value => { decodeMessage(Buffer.from(JSON.stringify(value))) }), { seed: SEED, numRuns: RUNS })
  })
})
