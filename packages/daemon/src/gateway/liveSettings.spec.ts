import { expect } from 'chai'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { silentLog } from '@lovagehoist/common'
import type { GatewaySettings } from '@lovagehoist/common'
import { LiveSettings } from './liveSettings.js'

const settingsWithGrace = (graceMs: number): GatewaySettings => ({ bounds: { graceMs }, bootstrapHosts: [] } as unknown as GatewaySettings)

describe('LiveSettings', () => {
  it('keeps the settings that were read last when an earlier read ends after them', async () => {
    const ends: Array<(read: Result<GatewaySettings, string>) => void> = []
    const live = LiveSettings.create(settingsWithGrace(1_000), async () => await new Promise(resolve => { ends.push(resolve) }), silentLog)
    const reloads = [live.reload('signal'), live.reload('signal')]
    ends[1]?.(ok(settingsWithGrace(3_000)))
    await reloads[1]
    ends[0]?.(ok(settingsWithGrace(2_000)))
    await Promise.all(reloads)
    expect(live.current().bounds.graceMs).to.equal(3_000)
  })
})
