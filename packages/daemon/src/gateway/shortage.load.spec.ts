import { expect } from 'chai'
import { CLASSES, LOADS, SERVICES } from '../testing/shortageLoads.js'
import type { ShortageLoad } from '../testing/shortageLoads.js'
import { ShortageSimulation, firstComeFirstServed, shortageAdmission } from '../testing/shortageSimulation.js'
import type { CreatePolicy } from '../testing/shortageSimulation.js'

const loadOf = (name: string): ShortageLoad => {
  const load = LOADS[name]
  if (load === undefined) throw new Error(`no load ${name}`)
  return load
}

const run = (name: string, policy: CreatePolicy, seed: number): ShortageSimulation =>
  ShortageSimulation.run({ seed, service: SERVICES[36], load: loadOf(name), policy })

describe('admission in a shortage (simulation in virtual time)', () => {
  it('changes nothing at a mean use of 0.3', function () {
    this.timeout(60_000)
    for (const seed of [1, 2]) {
      const admission = run('quiet', shortageAdmission, seed)
      expect(admission.policyRefusals).to.equal(0)
      expect(admission.results).to.deep.equal(run('quiet', firstComeFirstServed, seed).results)
    }
  })

  it('recovers a quarter of the value that first come first served loses in a burst, starves no class and inverts none', function () {
    this.timeout(60_000)
    const admission = run('burst, 0.7 in use', shortageAdmission, 1)
    const baseline = run('burst, 0.7 in use', firstComeFirstServed, 1)
    expect(admission.worthShare - baseline.worthShare).to.be.above((1 - baseline.worthShare) / 4)
    const served = admission.results.map(({ served, requests }) => served / requests)
    const all = admission.results.reduce((sum, { served }) => sum + served, 0) / admission.results.reduce((sum, { requests }) => sum + requests, 0)
    expect(Math.min(...served)).to.be.above(all / 4)
    expect(served).to.deep.equal([...served].sort((a, b) => b - a))
    expect(served).to.have.length(CLASSES.length)
  })
})
