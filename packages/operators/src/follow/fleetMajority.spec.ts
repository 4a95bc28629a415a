import { expect } from 'chai'
import type { Member } from '@lovagehoist/common'
import { seeMajority } from './fleetMajority.js'

const member = (change: Partial<Member> = {}): Member => ({
  instanceId: 'daemon-1',
  startId: 's',
  region: 'local',
  availabilityZone: 'a',
  host: '127.0.0.1',
  port: 1,
  status: 'reachable',
  configVersion: 1,
  configDigest: '',
  isReady: true,
  ageMs: 100,
  ...change
})

const see = (...members: readonly Member[]): number | undefined => seeMajority({ members, heldVersion: 1, nowMs: 1_000 })?.atMs

describe('seeMajority', () => {
  it('needs more than half of the known instances, this one included', () => {
    const gone = member({ status: 'gone' })
    expect(see(member(), gone)).to.equal(900)
    expect(see(member(), gone, gone)).to.equal(undefined)
    expect(see(gone)).to.equal(undefined)
    expect(see()).to.equal(1_000)
  })

  it('leaves out instances that hold a newer version', () => {
    expect(see(member(), member({ configVersion: 2 }), member({ configVersion: 2 }))).to.equal(undefined)
  })

  it('is as old as the oldest word that it needs', () => {
    expect(see(member({ ageMs: 700 }), member({ ageMs: 200 }), member({ ageMs: 50 }))).to.equal(800)
  })
})
