import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import type { InstanceRecord } from '@lovagehoist/common'
import { relayFitnessOf } from './relayFitness.js'
import { decodeMessage, encodeMessage } from './messages.js'
import { PeerTable } from './peerTable.js'

const record = (instanceId: string, relayFitness: number): InstanceRecord =>
  ({ instanceId, startId: `start-${instanceId}`, host: instanceId, availabilityZone: 'a', relayFitness })

describe('relay fitness', () => {
  it('decides which daemons relay for a zone, with ties broken by instance id', () => {
    const table = PeerTable.create(record('a1', 0.1), ManualClock.create())
    table.addKnown([record('a2', 0.1), record('a8', 1), record('a9', 1)])
    expect(table.relays('a').map(({ instanceId }) => instanceId)).to.deep.equal(['a8', 'a9'])
    table.remove('a8')
    expect(table.relays('a').map(({ instanceId }) => instanceId)).to.deep.equal(['a9', 'a1'])
  })

  it('is limited by the scarcer of CPU and bandwidth', () => {
    expect(relayFitnessOf({ cores: 1.35, linkMbps: 200 })).to.equal(1)
    expect(relayFitnessOf({ cores: 0.25, linkMbps: 1_000 })).to.equal(0.5)
    expect(relayFitnessOf({ cores: 1, linkMbps: 10 })).to.equal(0.1)
  })

  it('survives encoding unchanged, so that all daemons rank relays alike', () => {
    const relayFitness = relayFitnessOf({ cores: 0.333, linkMbps: 1_000 })
    const from = record('a1', relayFitness)
    const decoded = decodeMessage(encodeMessage({ type: 'zone', from, isFull: false, counters: [], news: {}, limits: { limits: [], demand: [] } })[0] ?? Buffer.alloc(0))
    expect(decoded?.from).to.deep.equal(from)
  })
})
