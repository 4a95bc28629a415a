import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/fakes'
import { MockAgent } from 'undici'
import { DirectoryClient } from './directoryClient.js'

const ORIGIN = 'http://platform.test'
const TIMEOUT_MS = 1_000

describe('DirectoryClient', () => {
  it('shares one call among concurrent reads and returns the same entries when the list is unchanged', async () => {
    const clock = ManualClock.create()
    const agent = new MockAgent()
    agent.disableNetConnect()
    const pool = agent.get(ORIGIN)
    pool.intercept({ path: '/directory' }).reply(200, { entries: [{ id: 'target-1' }] }, { headers: { etag: '"7"' } })
    pool.intercept({ path: '/directory', headers: { 'if-none-match': '"7"' } }).reply(304)
    const client = DirectoryClient.create(`${ORIGIN}/directory`, { clock, dispatcher: agent, timeoutMs: TIMEOUT_MS })
    const [first, second] = await Promise.all([client.list(), client.list()])
    await clock.advanceMs(2_000)
    const third = await client.list()
    expect([first.isOk(), second.isOk() && first.isOk() && second.value === first.value, third.isOk() && first.isOk() && third.value === first.value]).to.deep.equal([true, true, true])
    agent.assertNoPendingInterceptors()
    await agent.close()
  })
})
