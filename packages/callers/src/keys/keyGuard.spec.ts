import { expect } from 'chai'
import type { Reply } from '../exchange/reply.js'
import { problemReply } from '../exchange/reply.js'
import { KeyBench, fencedReply, keyedPassage, keyedRoute, textOf, wholeAnswer } from '../testing/keyBench.js'

describe('keys', () => {
  let bench: KeyBench
  let runs: number
  beforeEach(() => {
    bench = KeyBench.create(5)
    runs = 0
  })

  /** Sends as the request path does: not after the fence. */
  const sending = (reply: () => Promise<Reply> | Reply) => async (latestSendAtMs = Infinity): Promise<Reply> => {
    if (bench.clock.monotonicMs() >= latestSendAtMs) return fencedReply
    runs++
    return await reply()
  }
  const run = async (daemon: number, passage = keyedPassage('k'), reply: () => Promise<Reply> | Reply = () => wholeAnswer('first')): Promise<string> => {
    const { guard } = bench.daemons[daemon] as (typeof bench.daemons)[number]
    return textOf(await bench.settle(guard.run(passage, sending(reply))))
  }

  it('runs a key once when all daemons race, and replays the first answer', async () => {
    const replies = await Promise.all(bench.daemons.flatMap((_, index) => [run(index), run(index)]))
    expect(runs).to.equal(1)
    expect(replies.filter(reply => reply === 'answer first')).to.have.length.at.least(1)
    expect(new Set(replies).size).to.be.at.most(2)
    await bench.clock.advanceMs(1_000)
    expect(await run(3)).to.equal('answer first')
    expect(runs).to.equal(1)
  })

  it('answers a key with another request as a conflict', async () => {
    await run(0)
    expect(await run(1, keyedPassage('k', 'other'))).to.equal('key-conflict not-run')
  })

  it('says in progress while the holder works, and unknown when it died', async () => {
    const never = new Promise<Reply>(() => {})
    bench.daemons[0]?.guard.run(keyedPassage('k'), sending(async () => await never)).catch(() => {})
    await bench.clock.advanceMs(100)
    expect(await run(1)).to.equal('key-in-progress may-have-run')
    await bench.clock.advanceMs(30_000)
    expect(await run(1)).to.equal('key-unknown may-have-run')
    expect(runs).to.equal(1)
  })

  it('settles claims whose answers are lost without a second run', async () => {
    for (const { faults } of bench.daemons) faults.losesAnswers = true
    expect(await run(0)).to.equal('answer first')
    await bench.clock.advanceMs(1_000)
    expect(await run(1)).to.equal('answer first')
    expect(runs).to.equal(1)
  })

  it('refuses in an outage unless the route sends without the guarantee', async () => {
    for (const { faults } of bench.daemons) faults.isDown = true
    expect(await run(0)).to.equal('key-store-out not-run')
    expect(await run(0, keyedPassage('k', 'body', keyedRoute({ keyOutage: 'send-once' })))).to.equal('answer first')
    expect(runs).to.equal(1)
  })

  it('gives a key back that was proven not run', async () => {
    const refused = problemReply({ kind: 'no-target', verdict: 'not-run', detail: '' })
    expect(await run(0, keyedPassage('k'), () => refused)).to.equal('no-target not-run')
    await bench.clock.advanceMs(1_000)
    expect(await run(1)).to.equal('answer first')
  })

  it('keeps a key whose outcome is unknown', async () => {
    const lost = problemReply({ kind: 'target-failed', verdict: 'may-have-run', detail: '' })
    await run(0, keyedPassage('k'), () => lost)
    await bench.clock.advanceMs(1_000)
    expect(await run(1)).to.equal('key-unknown may-have-run')
    expect(runs).to.equal(1)
  })

  it('does not send after a pause in which the claim lapsed, and gives the key back', async () => {
    const { guard } = bench.daemons[0] as (typeof bench.daemons)[number]
    const paused = guard.run(keyedPassage('k'), async latestSendAtMs => {
      bench.clock.jumpMs(15_000)
      return await sending(() => wholeAnswer('late'))(latestSendAtMs)
    })
    expect(textOf(await bench.settle(paused))).to.equal('deadline not-run')
    await bench.clock.advanceMs(1_000)
    expect([await run(1), runs]).to.deep.equal(['answer first', 1])
  })

  it('gives up a claim that the table answers too late, and takes it back', async () => {
    for (const { faults } of bench.daemons) faults.delayMs = 5_000
    expect(await run(0)).to.equal('key-store-out not-run')
    await bench.clock.advanceMs(20_000)
    for (const { faults } of bench.daemons) faults.delayMs = 0
    expect(await run(1)).to.equal('answer first')
  })

  it('forgets a key only after its time', async () => {
    const passage = keyedPassage('k', 'body', keyedRoute({ keyLifetimeMs: 100_000 }))
    await run(0, passage)
    await bench.clock.advanceMs(90_000)
    await run(1, passage)
    expect(runs).to.equal(1)
    await bench.clock.advanceMs(20_000)
    await run(2, passage)
    expect(runs).to.equal(2)
  })

  it('replays large answers from the object store', async () => {
    const large = 'x'.repeat(10_000)
    await run(0, keyedPassage('k'), () => wholeAnswer(large))
    await bench.clock.advanceMs(1_000)
    expect(await run(1)).to.equal(`answer ${large}`)
    expect(bench.platform.objects.size).to.equal(1)
  })

  it('writes many claims in few transactions', async () => {
    let transactions = 0
    const { table } = bench.platform
    const transact = table.transact.bind(table)
    table.transact = transaction => {
      transactions++
      return transact(transaction)
    }
    await Promise.all(Array.from({ length: 200 }, async (_, index) => await run(0, keyedPassage(`k${index}`))))
    await bench.clock.advanceMs(5_000)
    expect([runs, transactions]).to.deep.equal([200, 4])
  })
})
