import { expect } from 'chai'
import { SeededRandom, createRegistry, silentLog } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { LeavingTargets, TargetLimits, TargetRegistry, TargetRests, TargetStatsTracker } from '@lovagehoist/targets'
import { registerGatewayMetrics } from './gatewayMetrics.js'
import type { GatewayMetricsOptions } from './gatewayMetrics.js'

describe('gateway metrics', () => {
  it('count the targets of each service that have had no request for two seconds', async () => {
    const clock = ManualClock.create()
    const registry = createRegistry({})
    const targetRegistry = TargetRegistry.create({ clock, log: silentLog, onForget: () => {} })
    const statsTracker = TargetStatsTracker.create(clock, targetRegistry.serviceOf)
    const others = { config: { version: 1, refusedCount: 0 }, relay: { relayRank: 0, unreadableCount: 0, peers: { size: 1 } } } as unknown as Pick<GatewayMetricsOptions, 'config' | 'relay'>
    const targetLimits = TargetLimits.create(clock, silentLog)
    const rests = TargetRests.create({ clock, random: SeededRandom.create(1), log: silentLog })
    const leaving = LeavingTargets.create({ clock, log: silentLog, headerName: 'leaving', onLeaving: () => {} })
    registerGatewayMetrics({ registry, clock, targetRegistry, statsTracker, targetLimits, rests, leaving, ...others })
    const targets = ['used', 'unused', 'leaving'].map(id => ({ ...fakeTarget(id), coldForMs: 0, isLeaving: id === 'leaving' }))
    targetRegistry.apply({ storeVersion: 1, targets, skipped: [] }, 0)
    clock.jumpMs(2_500)
    statsTracker.startAttempt('used', 'burnbook')
    expect(await registry.metrics()).to.match(/^lovagehoist_targets_unused\{service="burnbook"\} 1$/m)
    clock.jumpMs(2_500)
    expect(await registry.metrics()).to.match(/^lovagehoist_targets_unused\{service="burnbook"\} 2$/m)
    targetLimits.recordAnswer('used', { type: 'limited', perSecond: 1.5 }, clock.monotonicMs())
    expect(await registry.metrics()).to.match(/^lovagehoist_targets_limited\{service="burnbook"\} 1$/m)
    rests.recordAnswer(targets[0] ?? fakeTarget('used'), 503, ['retry-after', '3'])
    expect(await registry.metrics()).to.match(/^lovagehoist_targets_resting\{service="burnbook"\} 1$/m)
    leaving.recordAnswer(targets[1] ?? fakeTarget('unused'), ['leaving', '1'])
    expect(await registry.metrics()).to.match(/^lovagehoist_targets\{service="burnbook",state="leaving"\} 2$/m)
  })
})
