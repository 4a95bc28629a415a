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

/** Two operators that promote on one fake platform. */
class PromotionFixture {
  readonly clock = ManualClock.create()
  readonly fakePlatform = FakePlatform.create(this.clock)
  readonly ada = this.fakePlatform.connect()
  readonly ben = this.fakePlatform.connect()
  private operationCount = 0

  async store (document: Buffer): Promise<string> {
    return (await storeDocument(this.ada.platform, 'document', document))._unsafeUnwrap()
  }

  async promote (digest: string, change: Partial<PromotionRequest> = {}, { platform } = this.ada): Promise<Result<EnvironmentRow, PromotionError>> {
    const operationId = `operation-${this.operationCount++}`
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

/** Wraps a platform so that promotions get no response and reach the table only when the test runs them. */
const delayWrites = (platform: Platform, delayedWrites: Array<() => ReturnType<Platform['table']['transact']>>): Platform => ({
  ...platform,
  table: {
    ...platform.table,
    transact: async transaction => {
      if (transaction.operationId.endsWith('-abandon')) return await platform.table.transact(transaction)
      delayedWrites.push(async () => await platform.table.transact(transaction))
      return err({ kind: 'unknown', message: 'no answer' })
    }
  }
})

describe('promote', () => {
  it('accepts one of two promotions over the same version and names the winner to the other', async () => {
    const fixture = new PromotionFixture()
    const [first, second] = [await fixture.store(documentOf(['sackpay'])), await fixture.store(documentOf(['burnbook']))]
    const results = await Promise.all([fixture.promote(first, { seenVersion: 0 }), fixture.promote(second, { seenVersion: 0 }, fixture.ben)])
    expect(results.map(kindOf)).to.deep.equal(['won', 'conflict'])
    expect(results[1]._unsafeUnwrapErr().winner?.promotedBy).to.equal('ada')
  })

  it('determines the outcome of a write without response by reading, without a second write', async () => {
    const fixture = new PromotionFixture()
    const digest = await fixture.store(documentOf(['sackpay']))
    fixture.ada.faults.losesAnswers = true
    expect([kindOf(await fixture.promote(digest)), await fixture.version()]).to.deep.equal(['won', 1])
  })

  it('prevents a delayed write from taking effect after the promotion was reported as failed', async () => {
    const fixture = new PromotionFixture()
    const digest = await fixture.store(documentOf(['sackpay']))
    const late: Array<() => ReturnType<Platform['table']['transact']>> = []
    const result = await fixture.promote(digest, {}, { ...fixture.ada, platform: delayWrites(fixture.ada.platform, late) })
    const arrived = (await late[0]?.())?._unsafeUnwrap().type
    expect([kindOf(result), arrived, await fixture.version()]).to.deep.equal(['unavailable', 'conflict', 0])
  })

  it('refuses unknown digests, services dropped without being listed, and documents without a trial', async () => {
    const fixture = new PromotionFixture()
    const both = await fixture.store(documentOf(['sackpay', 'burnbook']))
    const one = await fixture.store(documentOf(['sackpay']))
    const declared = await fixture.store(documentOf(['sackpay'], { removedServices: ['burnbook'] }))
    const kinds = [
      await fixture.promote('0'.repeat(64)), await fixture.promote(both), await fixture.promote(one), await fixture.promote(declared),
      await fixture.promote(both, { trialEnvironment: 'trial' })
    ].map(kindOf)
    expect(kinds).to.deep.equal(['unknown-digest', 'won', 'invalid', 'won', 'not-tried'])
  })

  it('requires that the version accepted at the time of the trial is still there', async () => {
    const fixture = new PromotionFixture()
    const digest = await fixture.store(documentOf(['sackpay']))
    const accepted = (await fixture.promote(digest, { environment: 'trial' }))._unsafeUnwrap()
    const record = { trialEnvironment: 'trial', productionEnvironment: 'production', accepted, instances: 3, heldMs: 10_000, recordedBy: 'ada', operationId: 'r' }
    expect((await recordTrial(fixture.ada.platform, fixture.clock, record)).isOk()).to.equal(true)
    await fixture.promote(await fixture.store(documentOf(['burnbook'])), {}, fixture.ben)
    const late = await fixture.promote(digest, { trialEnvironment: 'trial' })
    const seen = await fixture.promote(digest, { trialEnvironment: 'trial', seenVersion: 1 })
    expect([kindOf(late), kindOf(seen)]).to.deep.equal(['conflict', 'invalid'])
  })

  it('records no trial of a document that is no longer accepted in the trial environment', async () => {
    const fixture = new PromotionFixture()
    const accepted = (await fixture.promote(await fixture.store(documentOf(['sackpay'])), { environment: 'trial' }))._unsafeUnwrap()
    await fixture.promote(await fixture.store(documentOf(['sackpay', 'burnbook'])), { environment: 'trial' }, fixture.ben)
    const record = { trialEnvironment: 'trial', productionEnvironment: 'production', accepted, instances: 3, heldMs: 10_000, recordedBy: 'ada', operationId: 'r' }
    expect(kindOf(await recordTrial(fixture.ada.platform, fixture.clock, record))).to.equal('conflict')
  })
})
