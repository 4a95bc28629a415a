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
  let isLeaving: boolean
  let isCurrent: boolean
  let reopen: () => void
  let confirmer: CrashConfirmer

  beforeEach(() => {
    checks = 0
    isCut = false
    crashes = []
    isLeaving = false
    isCurrent = true
    reopen = () => {}
    confirmer = CrashConfirmer.create({
      log: silentLog,
      path: {
        recordConnect: () => {},
        afterConfirmation: action => { if (!isCut) action() },
        whenOpen: action => {
          if (isCut) reopen = action
          else action()
        }
      },
      isLeaving: () => isLeaving,
      isCurrent: () => isCurrent,
      canConnect: async () => {
        checks++
        return await new Promise<boolean>(resolve => { answer = resolve })
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

  it('does not take the end of a target that leaves for a crash', async () => {
    isLeaving = true
    await confirmer.confirm(target, () => { crashes.push('a') })
    expect([checks, crashes]).to.deep.equal([0, []])
  })

  it('blames no target for a cut path', async () => {
    isCut = true
    const confirmation = confirmer.confirm(target, () => { crashes.push('a') })
    answer(false)
    await confirmation
    expect(crashes).to.deep.equal([])
  })

  /** Lets a target break a request off while the path is cut, then reopens the path. */
  const cutAndReopen = async (): Promise<void> => {
    isCut = true
    const confirmation = confirmer.confirm(target, () => { crashes.push('a') })
    answer(false)
    await confirmation
    isCut = false
    reopen()
  }

  it('does not lose a crash that happened while the path was cut', async () => {
    await cutAndReopen()
    answer(false)
    for (let turn = 0; turn < 4; turn++) await Promise.resolve()
    expect(crashes).to.deep.equal(['a'])
  })

  it('takes a target that is gone once the path is open again for crashed', async () => {
    isCurrent = false
    await cutAndReopen()
    expect([checks, crashes]).to.deep.equal([1, ['a']])
  })
})
