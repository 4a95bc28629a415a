import { expect } from 'chai'
import type { Reply } from '../exchange/reply.js'
import { problemReply } from '../exchange/reply.js'
import { IdempotencyHarness, notSentReply, keyedRequest, keyedRoute, replyText, bufferedReply } from '../testing/idempotencyHarness.js'

describe('IdempotencyGuard', () => {
  let harness: IdempotencyHarness
  let runs: number
  beforeEach(() => {
    harness = IdempotencyHarness.create(5)
    runs = 0
  })

  /** Sends like the request path: not after the claim's send limit. */
  const sending = (reply: () => Promise<Reply> | Reply) => async (latestSendAtMs = Infinity): Promise<Reply> => {
    if (harness.clock.monotonicMs() >= latestSendAtMs) return notSentReply
    runs++
    return await reply()
  }
  const run = async (daemon: number, accepted = keyedRequest('k'), reply: () => Promise<Reply> | Reply = () => bufferedReply('first')): Promise<string> => {
    const { guard } = harness.daemons[daemon] as (typeof harness.daemons)[number]
    return replyText(await harness.advanceUntilSettled(guard.run(accepted, sending(reply))))
  }

  it('executes a key once when all daemons race for it, and replays the first response', async () => {
    const replies = await Promise.all(harness.daemons.flatMap((_, index) => [run(index), run(index)]))
    expect(runs).to.equal(1)
    expect(replies.filter(reply => reply === 'answer first')).to.have.length.at.least(1)
    expect(new Set(replies).size).to.be.at.most(2)
    await harness.clock.advanceMs(1_000)
    expect(await run(3)).to.equal('answer first')
    expect(runs).to.equal(1)
  })

  it('reports a conflict when a key is reused for a different request', async () => {
    await run(0)
    expect(await run(1, keyedRequest('k', 'other'))).to.equal('key-conflict not-run')
  })

  it('reports "in progress" while the holder of the claim works, and "unknown" after it has died', async () => {
    const never = new Promise<Reply>(() => {})
    harness.daemons[0]?.guard.run(keyedRequest('k'), sending(async () => await never)).catch(() => {})
    await harness.clock.advanceMs(100)
    expect(await run(1)).to.equal('key-in-progress may-have-run')
    await harness.clock.advanceMs(30_000)
    expect(await run(1)).to.equal('key-unknown may-have-run')
    expect(runs).to.equal(1)
  })

  it('settles claims without a second execution when the store\'s responses are lost', async () => {
    for (const { faults } of harness.daemons) faults.losesAnswers = true
    expect(await run(0)).to.equal('answer first')
    await harness.clock.advanceMs(1_000)
    expect(await run(1)).to.equal('answer first')
    expect(runs).to.equal(1)
  })

  it('refuses requests while the store is unavailable, unless the route opts out of the guarantee', async () => {
    for (const { faults } of harness.daemons) faults.isDown = true
    expect(await run(0)).to.equal('key-store-out not-run')
    expect(await run(0, keyedRequest('k', 'body', keyedRoute({ keyOutage: 'send-once' })))).to.equal('answer first')
    expect(runs).to.equal(1)
  })

  it('releases a key whose request was provably not executed', async () => {
    const refused = problemReply({ kind: 'no-target', verdict: 'not-run', detail: '' })
    expect(await run(0, keyedRequest('k'), () => refused)).to.equal('no-target not-run')
    await harness.clock.advanceMs(1_000)
    expect(await run(1)).to.equal('answer first')
  })

  it('keeps a key whose outcome is unknown', async () => {
    const lost = problemReply({ kind: 'target-failed', verdict: 'may-have-run', detail: '' })
    await run(0, keyedRequest('k'), () => lost)
    await harness.clock.advanceMs(1_000)
    expect(await run(1)).to.equal('key-unknown may-have-run')
    expect(runs).to.equal(1)
  })

  it('does not send after a pause beyond the send limit, and releases the key', async () => {
    const { guard } = harness.daemons[0] as (typeof harness.daemons)[number]
    const paused = guard.run(keyedRequest('k'), async latestSendAtMs => {
      harness.clock.jumpMs(15_000)
      return await sending(() => bufferedReply('late'))(latestSendAtMs)
    })
    expect(replyText(await harness.advanceUntilSettled(paused))).to.equal('deadline not-run')
    await harness.clock.advanceMs(1_000)
    expect([await run(1), runs]).to.deep.equal(['answer first', 1])
  })

  it('gives up a claim when the table responds too late, and releases it', async () => {
    for (const { faults } of harness.daemons) faults.delayMs = 5_000
    expect(await run(0)).to.equal('key-store-out not-run')
    await harness.clock.advanceMs(20_000)
    for (const { faults } of harness.daemons) faults.delayMs = 0
    expect(await run(1)).to.equal('answer first')
  })

  it('keeps a key until its lifetime has expired', async () => {
    const accepted = keyedRequest('k', 'body', keyedRoute({ keyLifetimeMs: 100_000 }))
    await run(0, accepted)
    await harness.clock.advanceMs(90_000)
    await run(1, accepted)
    expect(runs).to.equal(1)
    await harness.clock.advanceMs(20_000)
    await run(2, accepted)
    expect(runs).to.equal(2)
  })

  it('replays large responses from the object store', async () => {
    const large = 'x'.repeat(10_000)
    await run(0, keyedRequest('k'), () => bufferedReply(large))
    await harness.clock.advanceMs(1_000)
    expect(await run(1)).to.equal(`answer ${large}`)
    expect(harness.platform.objects.size).to.equal(1)
  })

  it('writes many claims in few transactions', async () => {
    let transactions = 0
    const { table } = harness.platform
    const transact = table.transact.bind(table)
    table.transact = transaction => {
      transactions++
      return transact(transaction)
    }
    await Promise.all(Array.from({ length: 200 }, async (_, index) => await run(0, keyedRequest(`k${index}`))))
    await harness.clock.advanceMs(5_000)
    expect([runs, transactions]).to.deep.equal([200, 4])
  })
})
