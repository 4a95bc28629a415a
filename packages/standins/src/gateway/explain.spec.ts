import { expect } from 'chai'
import { collectRequestTimeline } from '@lovagehoist/operators'
import type { RequestTimeline } from '@lovagehoist/operators'
import { GatewayFleet } from './gatewayFleet.js'

const messages = ({ lines }: RequestTimeline): readonly string[] => lines.map(({ message }) => message)

describe('explanation of a failed request from logs alone', () => {
  let fleet: GatewayFleet

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/p/', kind: 'unsafe', service: 's', timeoutMs: 400 }])
  })

  afterEach(async () => { await fleet.close() })

  it('covers a request that every target refused as overloaded', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'refuse'
    await fleet.addDaemon()
    expect((await fleet.call({ requestId: 'refused-1', method: 'POST', body: 'x' })).status).to.equal(503)
    const timeline = collectRequestTimeline(fleet.logText, 'refused-1')
    expect(messages(timeline)).to.deep.equal(['target chosen', 'try ended', 'answered by the gateway'])
    expect(timeline.lines[1]?.fields).to.include({ outcome: 'shed', verdict: 'not-run', targetId: 't1' })
    expect(timeline.ending).to.equal('the gateway answered 503 (overload, not-run): status 503')
  })

  it('covers a request whose target reset the connection and left', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'reset'
    await fleet.addDaemon()
    expect((await fleet.call({ requestId: 'lost-1', method: 'POST', body: 'x' })).status).to.equal(502)
    fleet.store.remove('servers', 't1')
    await fleet.waitUntil(() => fleet.logLines.some(({ message }) => message === 'target gone'))
    const timeline = collectRequestTimeline(fleet.logText, 'lost-1')
    expect(timeline.lines[1]?.fields).to.include({ outcome: 'reset', verdict: 'may-have-run' })
    expect(timeline.around.map(({ message }) => message)).to.include('target gone')
    expect(timeline.ending).to.match(/^the gateway answered 502 \(target-failed, may-have-run\)/)
  })

  it('covers a request that reached its deadline at a hanging target, from prefixed log lines', async () => {
    const target = await fleet.addTarget('t1', 's')
    target.responseMode = 'hang'
    await fleet.addDaemon()
    expect((await fleet.call({ requestId: 'late-1', method: 'POST', body: 'x' })).status).to.equal(504)
    const timeline = collectRequestTimeline(`  12.5 gate-0 ${fleet.logText.replaceAll('\n', '\n  12.5 gate-0 ')}\nnot a line`, 'late-1')
    expect(timeline.lines[0]?.fields).to.have.keys('requestId', 'service', 'targetId', 'inProgress', 'failingChance', 'refusalShare', 'serviceTimeMs', 'isOwnZone', 'isConnected', 'waitMs', 'listingAgeMs', 'idleMs', 'isProbe', 'leftMs')
    expect(timeline.ending).to.equal('the gateway answered 504 (deadline, may-have-run): no answer in time')
  })
})
