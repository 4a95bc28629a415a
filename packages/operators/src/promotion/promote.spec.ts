import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import type { JsonValue, Platform } from '@lovagehoist/common'
import { FakePlatform, ManualClock } from '@lovagehoist/common/fakes'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { readEnvironment } from '../environment/readRows.js'
import { promote, storeDocument } from './promote.js'
import type { PromotionRequest } from './promote.js'
import type { PromotionError } from './promotionError.js'
import { recordTrial } from './recordTrial.js'

const service = { plannedTargets: 2, slotsPerTarget: 6, floorSlots: 6, connectionsPerTarget: 300 }

const documentOf = (services: readonly string[], more: { readonly [field: string]: JsonValue } = {}): Buffer => Buffer.from(JSON.stringify({
  schemaVersion: 1, deployment: 'umuriro', services: Object.fromEntries(services.map(name => [name, service])), routes: [], ...more
}))

/** Two operators before one platform. */
class Bench {
  readonly clock = ManualClock.create()
  readonly state = FakePlatform.create(this.clock)
  readonly ada = this.state.connect()
  readonly ben = this.state.connect()
  private operations = 0

  async store (document: Buffer): Promise<string> {
    return (await storeDocument(this.ada.platform, 'document', document))._unsafeUnwrap()
  }

  async promote (digest: string, change: Partial<PromotionRequest> = {}, { platform } = this.ada): Promise<Result<EnvironmentRow, PromotionError>> {
    const operationId = `operation-${this.operations++}`
    const running = promote({ platform, clock: this.clock, random: SeededRandom.create(1) },
      { environment: 'production', digest, operationId, promotedBy: platform === this.ada.platform ? 'ada' : 'ben', ...change })
    await this.clock.advanceMs(30_000)
    return await running
  }

  async version (): Promise<number> {
    return (await readEnvironment(this.ada.platform, 'production'))._unsafeUnwrap().value?.version ?? 0
  }
}

const kindOf = (result: Result<unknown, PromotionError>): string => result.isOk() ? 'won' : result.error.kind

/** A platform whose promotions arrive only when the test lets them. */
const lateWriter = (platform: Platform, late: Array<() => ReturnType<Platform['table']['transact']>>): Platform => ({
  ...platform,
  table: {
    ...platform.table,
    transact: async transaction => {
      if (transaction.operationId.endsWith('-abandon')) return await platform.table.transact(transaction)
      late.push(async () => await platform.table.transact(transaction))
      return err({ kind: 'unknown', message: 'no answer' })
    }
  }
})

describe('promote', () => {
  it('lets one of two promotions over the same version win and tells the other who', async () => {
    const bench = new Bench()
    const [first, second] = [await bench.store(documentOf(['sackpay'])), await bench.store(documentOf(['burnbook']))]
    const results = await Promise.all([bench.promote(first, { seenVersion: 0 }), bench.promote(second, { seenVersion: 0 }, bench.ben)])
    expect(results.map(kindOf)).to.deep.equal(['won', 'conflict'])
    expect(results[1]._unsafeUnwrapErr().winner?.promotedBy).to.equal('ada')
  })

  it('settles a lost answer by reading, without a second write', async () => {
    const bench = new Bench()
    const digest = await bench.store(documentOf(['sackpay']))
    bench.ada.faults.losesAnswers = true
    expect([kindOf(await bench.promote(digest)), await bench.version()]).to.deep.equal(['won', 1])
  })

  it('makes sure that a write whose answer is missing can not arrive after the operator was told that it failed', async () => {
    const bench = new Bench()
    const digest = await bench.store(documentOf(['sackpay']))
    const late: Array<() => ReturnType<Platform['table']['transact']>> = []
    const result = await bench.promote(digest, {}, { ...bench.ada, platform: lateWriter(bench.ada.platform, late) })
    const arrived = (await late[0]?.())?._unsafeUnwrap().type
    expect([kindOf(result), arrived, await bench.version()]).to.deep.equal(['unavailable', 'conflict', 0])
  })

  it('refuses what is unknown, dropped without saying so, or not tried', async () => {
    const bench = new Bench()
    const both = await bench.store(documentOf(['sackpay', 'burnbook']))
    const one = await bench.store(documentOf(['sackpay']))
    const said = await bench.store(documentOf(['sackpay'], { removedServices: ['burnbook'] }))
    const kinds = [
      await bench.promote('0'.repeat(64)), await bench.promote(both), await bench.promote(one), await bench.promote(said),
      await bench.promote(both, { trialEnvironment: 'trial' })
    ].map(kindOf)
    expect(kinds).to.deep.equal(['unknown-digest', 'won', 'invalid', 'won', 'not-tried'])
  })

  it('promotes what held in trial, and only over the version that was there at the trial', async () => {
    const bench = new Bench()
    const digest = await bench.store(documentOf(['sackpay']))
    const accepted = (await bench.promote(digest, { environment: 'trial' }))._unsafeUnwrap()
    const record = { trialEnvironment: 'trial', productionEnvironment: 'production', accepted, instances: 3, heldMs: 10_000, recordedBy: 'ada', operationId: 'r' }
    expect((await recordTrial(bench.ada.platform, bench.clock, record)).isOk()).to.equal(true)
    await bench.promote(await bench.store(documentOf(['burnbook'])), {}, bench.ben)
    const late = await bench.promote(digest, { trialEnvironment: 'trial' })
    const seen = await bench.promote(digest, { trialEnvironment: 'trial', seenVersion: 1 })
    expect([kindOf(late), kindOf(seen)]).to.deep.equal(['conflict', 'invalid'])
  })

  it('records no trial of a document that the trial environment has no longer', async () => {
    const bench = new Bench()
    const accepted = (await bench.promote(await bench.store(documentOf(['sackpay'])), { environment: 'trial' }))._unsafeUnwrap()
    await bench.promote(await bench.store(documentOf(['sackpay', 'burnbook'])), { environment: 'trial' }, bench.ben)
    const record = { trialEnvironment: 'trial', productionEnvironment: 'production', accepted, instances: 3, heldMs: 10_000, recordedBy: 'ada', operationId: 'r' }
    expect(kindOf(await recordTrial(bench.ada.platform, bench.clock, record))).to.equal('conflict')
  })
})
