import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { ALLOWANCE_LIFETIME_MS, PEER_EJECTION_LIFETIME_MS, safeExpiryMs } from './durations.js'
import { EMPTY_ROW } from './ejectionRow.js'
import type { EjectionRow } from './ejectionRow.js'
import { OwnAllowance } from './ownAllowance.js'

const self = { instanceId: 'daemon-0', startId: 's', region: 'local', availabilityZone: 'a' }
const rowWith = (slots: number): EjectionRow => ({ ...EMPTY_ROW, allowances: [{ instanceId: 'daemon-0', startId: 's', grantId: 'g', fence: 1, slots }] })

const create = (): { readonly clock: ManualClock, readonly allowance: OwnAllowance } => {
  const clock = ManualClock.create()
  const allowance = OwnAllowance.create(clock, self)
  allowance.trackWrite('g', rowWith(12), 0)
  clock.jumpMs(1_000)
  allowance.applyRow(rowWith(12), 1)
  return { clock, allowance }
}

describe('OwnAllowance', () => {
  it('keeps the slots of a stopped ejection reserved while other daemons may act on it', () => {
    const { clock, allowance } = create()
    expect([allowance.eject('t0', 6), allowance.eject('t1', 6)]).to.deep.equal([true, true])
    allowance.stop('t0')
    expect(allowance.eject('t2', 6)).to.equal(false)
    clock.jumpMs(safeExpiryMs(PEER_EJECTION_LIFETIME_MS))
    expect(allowance.eject('t2', 6)).to.equal(true)
  })

  it('limits the slots to what an unsettled write would leave, until a newer row version is read', () => {
    const { allowance } = create()
    allowance.trackWrite('convert', rowWith(6), 1)
    allowance.applyRow(rowWith(12), 1)
    expect(allowance.slots).to.equal(6)
    allowance.applyRow(rowWith(12), 2)
    expect(allowance.slots).to.equal(12)
  })

  it('expires one lifetime after the start of the write, and gives no slots to a restarted process', () => {
    const { clock, allowance } = create()
    allowance.eject('t0', 6)
    clock.jumpMs(ALLOWANCE_LIFETIME_MS - 1_001)
    expect(allowance.active).to.have.length(1)
    clock.jumpMs(1)
    expect([allowance.slots, allowance.active.length]).to.deep.equal([0, 0])
    const renewed = OwnAllowance.create(clock, { ...self, startId: 'other' })
    renewed.applyRow(rowWith(12), 1)
    expect(renewed.slots).to.equal(0)
  })
})
