import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import type { InstanceRecord } from '@lovagehoist/common'
import { fitnessOf } from './relayFitness.js'
import { decodeMessage, encodeMessage } from './messages.js'
import { RelayRoster } from './relayRoster.js'

const record = (instanceId: string, relayFitness: number): InstanceRecord =>
  ({ instanceId, startId: `start-${instanceId}`, host: instanceId, availabilityZone: 'a', relayFitness })

describe('relays of a zone of unequal machines', () => {
  it('are the machines with processor and link for it, then the first by name', () => {
    const roster = RelayRoster.create(record('a1', 0.1), ManualClock.create())
    roster.learn([record('a2', 0.1), record('a8', 1), record('a9', 1)])
    expect(roster.relays('a').map(({ instanceId }) => instanceId)).to.deep.equal(['a8', 'a9'])
    roster.remove('a8')
    expect(roster.relays('a').map(({ instanceId }) => instanceId)).to.deep.equal(['a9', 'a1'])
  })

  it('are as fit as the scarcer of processor and link allows', () => {
    expect(fitnessOf({ cores: 1.35, linkMbps: 200 })).to.equal(1)
    expect(fitnessOf({ cores: 0.25, linkMbps: 1_000 })).to.equal(0.5)
    expect(fitnessOf({ cores: 1, linkMbps: 10 })).to.equal(0.1)
  })

  it('are the same to themselves and to the daemons that they tell', () => {
    const relayFitness = fitnessOf({ cores: 0.333, linkMbps: 1_000 })
    const from = record('a1', relayFitness)
    const told = decodeMessage(encodeMessage({ type: 'zone', from, isFull: false, tallies: [], crashes: [] }))
    expect(told?.from).to.deep.equal(from)
  })
})
