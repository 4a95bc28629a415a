import { expect } from 'chai'
import fc from 'fast-check'
import { problemReply } from '../exchange/reply.js'
import type { Reply } from '../exchange/reply.js'
import { KeyBench, fencedReply, keyedPassage, textOf, wholeAnswer } from '../testing/keyBench.js'

const DAEMONS = 3
const SEED = 4
const KEYS = ['a', 'b'] as const

type Ending = 'answer' | 'not-run' | 'unknown' | 'dies'
type Step =
  | { readonly type: 'send', readonly daemon: number, readonly key: string, readonly ending: Ending, readonly pauseMs: number, readonly workMs: number }
  | { readonly type: 'pass', readonly durationMs: number }
  | { readonly type: 'fault', readonly daemon: number, readonly isDown: boolean, readonly losesAnswers: boolean, readonly delayMs: number }

const daemon = fc.nat(DAEMONS - 1)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ type: fc.constant('send' as const), daemon, key: fc.constantFrom(...KEYS), ending: fc.constantFrom<Ending>('answer', 'not-run', 'unknown', 'dies'), pauseMs: fc.constantFrom(0, 0, 500, 12_000), workMs: fc.constantFrom(0, 10, 3_000) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('pass' as const), durationMs: fc.constantFrom(1, 30, 500, 5_000, 30_000) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('fault' as const), daemon, isDown: fc.boolean(), losesAnswers: fc.boolean(), delayMs: fc.constantFrom(0, 0, 20, 3_000) }) }
)

const sendNow = { type: 'send', daemon: 0, key: 'a', ending: 'answer', pauseMs: 0, workMs: 0 } as const
/** A released claim whose lost answer was settled after another daemon's claim. */
const LOST_RELEASE: Step[] = [
  { ...sendNow, pauseMs: 12_000 },
  { type: 'pass', durationMs: 1 },
  { type: 'fault', daemon: 0, isDown: false, losesAnswers: true, delayMs: 20 },
  sendNow, sendNow, sendNow,
  { type: 'pass', durationMs: 1 },
  sendNow
]

/** What happened to one sent request. */
interface Sent {
  readonly key: string
  isRun: boolean
  reply: string | undefined
}

/** Runs steps and keeps a journal of the runs of each key. */
class KeyModel {
  private readonly bench = KeyBench.create(DAEMONS)
  private readonly sent: Sent[] = []

  async take (taken: Step): Promise<void> {
    if (taken.type === 'pass') await this.bench.clock.advanceMs(taken.durationMs)
    else if (taken.type === 'fault') Object.assign(this.bench.daemons[taken.daemon]?.faults ?? {}, taken)
    else this.send(taken)
    this.check()
  }

  async finish (): Promise<void> {
    for (let round = 0; round < 20; round++) await this.bench.clock.advanceMs(5_000)
    this.check()
  }

  private send ({ daemon, key, ending, pauseMs, workMs }: Extract<Step, { type: 'send' }>): void {
    const { clock, daemons } = this.bench
    const entry: Sent = { key, isRun: false, reply: undefined }
    const body = `${key} ${this.sent.push(entry)}`
    const work = async (latestSendAtMs = Infinity): Promise<Reply> => {
      if (pauseMs > 0) clock.jumpMs(pauseMs)
      if (clock.monotonicMs() >= latestSendAtMs) return fencedReply
      if (ending === 'not-run') return problemReply({ kind: 'no-target', verdict: 'not-run', detail: '' })
      entry.isRun = true
      await clock.sleepMs(workMs)
      if (ending === 'dies') return await new Promise<Reply>(() => {})
      return ending === 'answer' ? wholeAnswer(body) : problemReply({ kind: 'target-failed', verdict: 'may-have-run', detail: '' })
    }
    daemons[daemon]?.guard.run(keyedPassage(key), work).then(reply => { entry.reply = textOf(reply) }, () => {})
  }

  /** At most one run of each key; a request called not run did not run; every answer is the one of the run. */
  private check (): void {
    for (const key of KEYS) {
      const entries = this.sent.filter(entry => entry.key === key)
      expect(entries.filter(({ isRun }) => isRun).length, `runs of ${key}`).to.be.at.most(1)
      const answers = new Set(entries.flatMap(({ reply }) => reply?.startsWith('answer') === true ? [reply] : []))
      expect(answers.size, `answers of ${key}`).to.be.at.most(1)
      for (const { reply, isRun } of entries) if (reply?.endsWith(' not-run') === true) expect(isRun, reply).to.equal(false)
    }
  }
}

describe('keys under faults', () => {
  it('run at most once across daemons, whatever the store and the holders do', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async steps => {
      const model = new KeyModel()
      for (const taken of steps) await model.take(taken)
      await model.finish()
    }), { seed: SEED, numRuns: 500, examples: [[LOST_RELEASE]] })
  })
})
