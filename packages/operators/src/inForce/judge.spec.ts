import { expect } from 'chai'
import type { FleetView, InstanceView } from './fleetView.js'
import { judgeInForce } from './judge.js'
import type { Judgement } from './judge.js'

const FENCE_MS = 4_700

const instance = (instanceId: string, version: number, status: InstanceView['status'] = 'reachable'): InstanceView =>
  ({ instanceId, region: 'local', availabilityZone: 'a', status, version, digest: '', isReady: true, ageMs: 0 })

const view = (instances: readonly InstanceView[], isAlone = false): FleetView =>
  ({ environment: 'production', instanceId: instances[0]?.instanceId ?? '', isAlone, knownVersion: 2, instances })

const judge = (views: readonly FleetView[], majorityForMs: number, silent: readonly string[] = []): Judgement =>
  judgeInForce({ version: 2, views, silent, majorityForMs, fenceMs: FENCE_MS })

describe('judgeInForce', () => {
  const [held, lags, away] = [instance('a', 2, 'self'), instance('b', 1), instance('c', 1, 'suspect')]

  it('waits for every instance, or until those without it can have no proof left', () => {
    expect(judge([view([held])], 0).isInForce).to.equal(true)
    expect(judge([view([held, instance('b', 2), away])], FENCE_MS - 1).isInForce).to.equal(false)
    expect(judge([view([held, instance('b', 2), away])], FENCE_MS).isInForce).to.equal(true)
  })

  it('never counts a larger part that is away as stopped, nor daemons without peers', () => {
    expect(judge([view([held, lags, away])], FENCE_MS * 10).isInForce).to.equal(false)
    expect(judge([view([held], true), view([instance('b', 1, 'self')], true)], FENCE_MS * 10).isInForce).to.equal(false)
    expect(judge([view([held], true)], FENCE_MS * 10, ['silent']).isInForce).to.equal(false)
    expect(judge([], FENCE_MS * 10).isInForce).to.equal(false)
  })

  it('takes the word of an instance on itself before what others heard', () => {
    const other = view([instance('z', 2, 'self'), instance('a', 1)])
    expect(judge([other, view([held, instance('z', 1, 'gone')])], 0).instances.map(({ standing }) => standing)).to.deep.equal(['in-force', 'in-force'])
  })
})
