import { expect } from 'chai'
import { silentLog } from '@lovagehoist/common'
import { fakeTarget } from '@lovagehoist/common/testing'
import { CrashConfirmer } from './crashConfirmer.js'

const target = { ...fakeTarget('t1'), coldForMs: 0 }

describe('CrashConfirmer', () => {
  let answer: (isOpened: boolean) => void
  let checks: number
  let isCut: boolean
  let crashes: string[]
  let confirmer: CrashConfirmer

  beforeEach(() => {
    checks = 0
    isCut = false
    crashes = []
    confirmer = CrashConfirmer.create({
      log: silentLog,
      path: { recordConnect: () => {}, afterConfirmation: action => { if (!isCut) action() } },
      checkConnect: (_target, onDone) => {
        checks++
        answer = onDone
      }
    })
  })

  it('takes a target that accepts connections for alive', async () => {
    const confirmation = confirmer.confirm(target, () => { crashes.push('a') })
    answer(true)
    await confirmation
    expect(crashes).to.deep.equal([])
  })

  it('checks a target once for all requests that it broke off together', async () => {
    const confirmations = ['a', 'b'].map(async name => { await confirmer.confirm(target, () => { crashes.push(name) }) })
    answer(false)
    await Promise.all(confirmations)
    expect([checks, [...crashes].sort()]).to.deep.equal([1, ['a', 'b']])
  })

  it('blames no target for a cut path', async () => {
    isCut = true
    const confirmation = confirmer.confirm(target, () => { crashes.push('a') })
    answer(false)
    await confirmation
    expect(crashes).to.deep.equal([])
  })
})
