import { expect } from 'chai'
import { FakePlatform, ManualClock } from '@lovagehoist/common/fakes'
import { ENVIRONMENTS_TABLE } from './environmentRow.js'
import { readEnvironment } from './readRows.js'

const row = { version: 3, digest: '0'.repeat(64), previousDigest: '', operationId: 'o', promotedBy: 'ada', promotedAtMs: 1 }

describe('readEnvironment', () => {
  const read = async (value: object): Promise<number | string> => {
    const state = FakePlatform.create(ManualClock.create())
    const { platform } = state.connect()
    await platform.table.transact({ operationId: 'w', conditions: [], writes: [{ type: 'put', table: ENVIRONMENTS_TABLE, key: 'production', value: { ...value } }] })
    const found = await readEnvironment(platform, 'production')
    return found.isOk() ? found.value.value?.version ?? 0 : found.error.kind
  }

  it('accepts rows with unknown fields, as later program versions write them, and rejects invalid ones', async () => {
    expect([await read(row), await read({ ...row, reason: 'payout day' }), await read({ ...row, digest: 'x' })]).to.deep.equal([3, 3, 'rejected'])
  })
})
