import { expect } from 'chai'
import fc from 'fast-check'
import { problemReply } from '../exchange/reply.js'
import type { Reply } from '../exchange/reply.js'
import { IdempotencyHarness, notSentReply, keyedRequest, replyText, bufferedReply } from '../testing/idempotencyHarness.js'

const DAEMONS = 3
const SEED = 4
const KEYS = ['a', 'b'] as const

type Ending = 'answer' | 'not-run' | 'unknown' | 'dies'
type Step =
  | { readonly type: 'send', readonly daemon: number, readonly key: string, readonly ending: Ending, readonly pauseMs: number, readonly workMs: number }
  | { readonly type: 'pass', readonly durationMs: number }
  | { readonly type: 'fault', readonly daemon: number, readonly isDown: boolean, readonly losesAnswers: boolean, readonly delayMs: number }

const daemon = fc.nat(DAEMONS - 1)
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ type: fc.constant('send' as const), daemon, key: fc.constantFrom(...KEYS), ending: fc.constantFrom<Ending>('answer', 'not-run', 'unknown', 'dies'), pauseMs: fc.constantFrom(0, 0, 500, 12_000), workMs: fc.constantFrom(0, 10, 3_000) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('pass' as const), durationMs: fc.constantFrom(1, 30, 500, 5_000, 30_000) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('fault' as const), daemon, isDown: fc.boolean(), losesAnswers: fc.boolean(), delayMs: fc.constantFrom(0, 0, 20, 3_000) }) }
)

const sendNow = { type: 'send', daemon: 0, key: 'a', ending: 'answer', pauseMs: 0, workMs: 0 } as const
/** Regression case: the response to a release is lost and its outcome is settled only after another daemon has claimed the key. */
const LOST_RELEASE_RESPONSE: Step[] = [
  { ...sendNow, pauseMs: 12_000 },
  { type: 'pass', durationMs: 1 },
  { type: 'fault', daemon: 0, isDown: false, losesAnswers: true, delayMs: 20 },
  sendNow, sendNow, sendNow,
  { type: 'pass', durationMs: 1 },
  sendNow
]

/** Observed result of one request. */
interface SentRequest {
  readonly key: string
  isRun: boolean
  reply: string | undefined
}

/** Executes steps and records the executions of each key. */
class IdempotencyModel {
  private readonly harness = IdempotencyHarness.create(DAEMONS)
  private readonly sentRequests: SentRequest[] = []

  async apply (step: Step): Promise<void> {
    if (step.type === 'pass') await this.harness.clock.advanceMs(step.durationMs)
    else if (step.type === 'fault') Object.assign(this.harness.daemons[step.daemon]?.faults ?? {}, step)
    else this.send(step)
    this.check()
  }

  async finish (): Promise<void> {
    for (let round = 0; round < 20; round++) await this.harness.clock.advanceMs(5_000)
    this.check()
  }

  private send ({ daemon, key, ending, pauseMs, workMs }: Extract<Step, { type: 'send' }>): void {
    const { clock, daemons } = this.harness
    const entry: SentRequest = { key, isRun: false, reply: undefined }
    const body = `${key} ${this.sentRequests.push(entry)}`
    const work = async (latestSendAtMs = Infinity): Promise<Reply> => {
      if (pauseMs > 0) clock.jumpMs(pauseMs)
      if (clock.monotonicMs() >= latestSendAtMs) return notSentReply
      if (ending === 'not-run') return problemReply({ kind: 'no-target', verdict: 'not-run', detail: '' })
      entry.isRun = true
      await clock.sleepMs(workMs)
      if (ending === 'dies') return await new Promise<Reply>(() => {})
      return ending === 'answer' ? bufferedReply(body) : problemReply({ kind: 'target-failed', verdict: 'may-have-run', detail: '' })
    }
    daemons[daemon]?.guard.run(keyedRequest(key), work).then(reply => { entry.reply = replyText(reply) }, () => {})
  }

  /** Checks that each key was executed at most once, that requests reported as not run did not run, and that all responses for a key are equal. */
  private check (): void {
    for (const key of KEYS) {
      const entries = this.sentRequests.filter(entry => entry.key === key)
      expect(entries.filter(({ isRun }) => isRun).length, `runs of ${key}`).to.be.at.most(1)
      const answers = new Set(entries.flatMap(({ reply }) => reply?.startsWith('answer') === true ? [reply] : []))
      expect(answers.size, `answers of ${key}`).to.be.at.most(1)
      for (const { reply, isRun } of entries) if (reply?.endsWith(' not-run') === true) expect(isRun, reply).to.equal(false)
    }
  }
}

describe('IdempotencyGuard under faults', () => {
  it('executes each key at most once across daemons, whatever faults the store and the claim holders have', async () => {
    await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { minLength: 5, maxLength: 30 }), async steps => {
      const model = new IdempotencyModel()
      for (const step of steps) await model.apply(step)
      await model.finish()
    }), { seed: SEED, numRuns: 500, examples: [[LOST_RELEASE_RESPONSE]] })
  })
})
