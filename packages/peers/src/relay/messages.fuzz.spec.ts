import { expect } from 'chai'
import fc from 'fast-check'
import { decodeMessage, encodeMessage } from './messages.js'
import type { RelayMessage } from './messages.js'

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
  fc.record({ type: fc.constant('report' as const), from: instance, isFull: fc.boolean(), isLeaving: fc.boolean(), uptimeMs: count, counters, news, limits: fc.record({ limits, demand, settled: fc.array(fc.tuple(fc.string(), fc.record({ used: count, unused: count }))) }) }),
  fc.record({ type: fc.constant('zone' as const), from: instance, isFull: fc.boolean(), counters, news, limits: fc.record({ limits, demand }) }),
  fc.record({
    type: fc.constant('view' as const),
    from: instance,
    heldVersions: fc.record({ configVersion: count, listingDigest: fc.string(), listingVersion: fc.integer({ min: -1, max: 1_000_000 }), listingAgeMs: count }),
    stats: fc.array(fc.tuple(fc.string(), targetStats)),
    news,
    limits: fc.record({ limits, permits }),
    members: fc.array(instance)
  })
)

describe('relay messages (fuzz)', () => {
  it('survive an encode-decode round trip unchanged', () => {
    fc.assert(fc.property(message, sent => { expect(decodeMessage(encodeMessage(sent))).to.deep.equal(sent) }), { seed: SEED, numRuns: RUNS })
  })

  it('never make decoding throw, whatever the bytes or the JSON', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => { decodeMessage(bytes) }), { seed: SEED, numRuns: RUNS })
    const params = fc.dictionary(fc.constantFrom('from', 'rows', 'facts', 'members', 'news', 'limits', 'full'), fc.jsonValue())
    const envelope = fc.record({ method: fc.constantFrom('report', 'zone', 'view', 'toString', '__proto__'), params })
    fc.assert(fc.property(envelope, value => { decodeMessage(Buffer.from(JSON.stringify(value))) }), { seed: SEED, numRuns: RUNS })
  })
})
