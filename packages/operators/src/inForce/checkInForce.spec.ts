import { expect } from 'chai'
import type { FleetView, InstanceView } from './fleetView.js'
import { checkInForce } from './checkInForce.js'
import type { InForceStatus } from './checkInForce.js'

const FENCE_MS = 4_700

const instance = (instanceId: string, version: number, status: InstanceView['status'] = 'reachable'): InstanceView =>
  ({ instanceId, region: 'local', availabilityZone: 'a', status, version, digest: '', isReady: true, ageMs: 0 })

const viewOf = (instances: readonly InstanceView[], isAlone = false): FleetView =>
  ({ environment: 'production', instanceId: instances[0]?.instanceId ?? '', isAlone, knownVersion: 2, instances })

const check = (views: readonly FleetView[], majorityForMs: number, unansweredIds: readonly string[] = []): InForceStatus =>
  checkInForce({ version: 2, views, unansweredIds, majorityForMs, fenceMs: FENCE_MS })

describe('checkInForce', () => {
  const [held, lags, away] = [instance('a', 2, 'self'), instance('b', 1), instance('c', 1, 'suspect')]

  it('requires the version on every instance, or enough time for the others to fence themselves', () => {
    expect(check([viewOf([held])], 0).isInForce).to.equal(true)
    expect(check([viewOf([held, instance('b', 2), away])], FENCE_MS - 1).isInForce).to.equal(false)
    expect(check([viewOf([held, instance('b', 2), away])], FENCE_MS).isInForce).to.equal(true)
  })

  it('never counts an unreachable majority as fenced, nor daemons without peers', () => {
    expect(check([viewOf([held, lags, away])], FENCE_MS * 10).isInForce).to.equal(false)
    expect(check([viewOf([held], true), viewOf([instance('b', 1, 'self')], true)], FENCE_MS * 10).isInForce).to.equal(false)
    expect(check([viewOf([held], true)], FENCE_MS * 10, ['silent']).isInForce).to.equal(false)
    expect(check([], FENCE_MS * 10).isInForce).to.equal(false)
  })

  it('prefers the view of an instance on itself to the views of others', () => {
    const other = viewOf([instance('z', 2, 'self'), instance('a', 1)])
    expect(check([other, viewOf([held, instance('z', 1, 'gone')])], 0).instances.map(({ standing }) => standing)).to.deep.equal(['in-force', 'in-force'])
  })
})
