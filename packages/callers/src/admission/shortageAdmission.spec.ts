import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import type { Log, LogFields, ServiceRoom } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { ShortageAdmission } from './shortageAdmission.js'
import type { ShortageCandidate } from './shortageAdmission.js'

const ROOM: ServiceRoom = { targets: 40, slots: 80, inProgress: 24, serviceTimeMs: 200, refusalShare: 0 }

const CANDIDATE: ShortageCandidate = { requestId: 'r', service: 's', rank: 2, ranks: 3, receivedAtMs: 0, objectiveMs: 1_000, isRetry: false }

const setUp = (seed = 1) => {
  const clock = ManualClock.create()
  const lines: Array<{ readonly message: string, readonly fields: LogFields | undefined }> = []
  const refusals: string[] = []
  const write = (message: string, fields?: LogFields): void => { lines.push({ message, fields }) }
  const log: Log = { error: write, warn: write, info: write, debug: write, child: () => log }
  let room = ROOM
  const metrics = { setLevel: () => {}, setWait: () => {}, countRefusal: (service: string, rank: number, cause: string) => { refusals.push(`${service} ${rank} ${cause}`) } }
  const admission = ShortageAdmission.create({ clock, random: SeededRandom.create(seed), log, capacity: { roomOf: () => room }, metrics })
  const decide = (requestId: string, change: Partial<ShortageCandidate> = {}) =>
    admission.decide({ ...CANDIDATE, requestId, receivedAtMs: clock.monotonicMs(), ...change })
  return { clock, lines, refusals, decide, setLoad: (load: number) => { room = { ...ROOM, inProgress: load * ROOM.slots } } }
}

describe('ShortageAdmission', () => {
  it('admits everything silently at a mean use of 0.3', () => {
    const { decide, lines } = setUp()
    for (let index = 0; index < 500; index++) expect(decide(`r${index}`)).to.deep.equal({ type: 'admitted' })
    expect(lines).to.deep.equal([])
  })

  it('decides alike on all daemons when a request is repeated at once, so that immediate retries gain nothing', () => {
    const [one, other] = [setUp(1), setUp(2)]
    one.setLoad(3)
    other.setLoad(3)
    const ids = Array.from({ length: 300 }, (_, index) => `r${index}`)
    const types = ids.map(id => one.decide(id).type)
    expect(ids.map(id => other.decide(id).type)).to.deep.equal(types)
    expect(types.filter(type => type === 'refused').length).to.be.within(60, 240)
  })

  it('draws again for a request that returns later, which is treated like a new one', () => {
    const { clock, decide, setLoad } = setUp()
    setLoad(3)
    const refused = Array.from({ length: 300 }, (_, index) => `r${index}`).filter(id => decide(id).type === 'refused')
    clock.jumpMs(500)
    const again = refused.filter(id => decide(id).type === 'refused')
    expect(again.length).to.be.within(refused.length * 0.25, refused.length * 0.8)
  })

  it('spreads the return of refused callers', () => {
    const { decide, setLoad } = setUp()
    setLoad(3)
    const delays = Array.from({ length: 300 }, (_, index) => decide(`r${index}`)).flatMap(decision => decision.type === 'refused' ? [decision.retryDelayMs] : [])
    expect(Math.max(...delays) - Math.min(...delays)).to.be.above(150)
    expect(Math.min(...delays)).to.be.at.least(150)
  })

  it('logs the inputs of each refusal, counts it, and logs begin and end of a shortage once', () => {
    const { clock, decide, lines, refusals, setLoad } = setUp()
    decide('before')
    setLoad(4.9)
    decide('r1', { isRetry: true })
    const refusal = lines.find(({ message }) => message === 'request refused in a shortage')
    expect(refusal?.fields).to.include({ requestId: 'r1', service: 's', rank: 2, isRetry: true, slots: 80, inProgress: 392, serviceTimeMs: 200, waitMs: 780 })
    expect(refusals).to.deep.equal(['s 2 retry'])
    setLoad(0.3)
    clock.jumpMs(1_100)
    for (const id of ['a', 'b']) expect(decide(id).type).to.equal('admitted')
    const changes = lines.map(({ message }) => message).filter(message => message.includes('capacity'))
    expect(changes).to.deep.equal(['service has too little capacity', 'capacity of the service suffices again'])
  })
})
