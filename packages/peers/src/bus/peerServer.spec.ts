import { expect } from 'chai'
import type { JsonValue } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { expectSnapshot } from '@lovagehoist/common/testing'
import { FakeFleet } from '../fakes/fakeFleet.js'
import { decodePacket, encodePacket } from '../wire/codec.js'
import type { Packet } from '../wire/codec.js'

const PORT = 1

interface Setup {
  readonly fleet: FakeFleet
  readonly send: (packet: Packet) => Promise<unknown>
  readonly state: () => unknown
  readonly refused: () => Readonly<Record<string, number>>
}

const setUp = async (): Promise<Setup> => {
  const fleet = new FakeFleet(ManualClock.create(), 4)
  await fleet.start(0)
  await fleet.start(1)
  await fleet.clock.advanceMs(8_000)
  const bus = fleet.daemons.get('daemon-0')?.bus
  return {
    fleet,
    send: async packet => {
      const answer = await fleet.links.listeners.get(PORT)?.(packet)
      return answer === undefined ? undefined : decodePacket(answer).unwrapOr(undefined)
    },
    state: () => JSON.stringify([bus?.members(), ...(['config', 'evidence'] as const).map(topic => bus?.entries(topic))]),
    refused: () => (bus?.dump() as { readonly refused: Readonly<Record<string, number>> }).refused
  }
}

const heartbeat = (change: Readonly<Record<string, JsonValue>>, id: JsonValue = 1_000): Packet => encodePacket('json', {
  jsonrpc: '2.0',
  id,
  method: 'heartbeat',
  params: {
    version: 1, environment: 'production', from: ['daemon-1', 'start-2'], to: ['daemon-0', 'start-1'], room: 100, heard: [], entries: [], ...change
  }
})

const refusals: Readonly<Record<string, Packet>> = {
  'no message': { contentType: 'application/msgpack', body: Buffer.from([0xc1, 1, 2]) },
  'unknown content type': { ...heartbeat({}), contentType: 'text/plain' },
  'no id': heartbeat({}, 'text'),
  'missing fields': encodePacket('json', { jsonrpc: '2.0', id: 1_001, method: 'heartbeat', params: {} }),
  'room above all': heartbeat({ room: 101 }),
  'entry that is not JSON': encodePacket('msgpack', { jsonrpc: '2.0', id: 1_002, method: 'heartbeat', params: { version: 1, environment: 'production', from: ['daemon-1', 'start-2'], to: ['daemon-0', 'start-1'], room: 1, heard: [], entries: [[1, 0, 'k', 1, 0, 1, new Uint8Array(1)]] } }),
  'other version': heartbeat({ version: 2 }),
  'other environment': heartbeat({ environment: 'trial' }),
  'for another daemon': heartbeat({ to: ['daemon-9', 'start-1'] }),
  'from itself': heartbeat({ from: ['daemon-0', 'start-0'] }),
  'for an earlier process': heartbeat({ to: ['daemon-0', 'start-0'] }),
  oversized: heartbeat({ environment: 'x'.repeat(70_000) })
}

describe('PeerServer', () => {
  it('refuses and counts invalid messages without changing state', async function () {
    const { fleet, send, state, refused } = await setUp()
    const before = state()
    const answers: Record<string, unknown> = {}
    for (const [name, packet] of Object.entries(refusals)) answers[name] = await send(packet) ?? 'no answer'
    expect(state()).to.equal(before)
    await fleet.close()
    expectSnapshot(this, { answers, refused: refused() })
  })

  it('refuses a replayed message', async () => {
    const { fleet, send, refused } = await setUp()
    const copies = fleet.links.deliveredPackets.filter(({ port }) => port === PORT).map(({ packet }) => packet)
    const countBefore = refused().replayed ?? 0
    for (const packet of copies) expect(await send(packet)).to.have.property('error')
    expect((refused().replayed ?? 0) - countBefore).to.equal(copies.length)
    await fleet.close()
  })

  it('ignores unknown fields', async () => {
    const { fleet, send } = await setUp()
    expect(await send(heartbeat({ laterField: 1, from: ['daemon-1', 'start-2', 'later'] }))).to.have.property('result')
    await fleet.close()
  })

  it('refuses messages from a replaced process', async () => {
    const { fleet, send } = await setUp()
    fleet.kill('daemon-1')
    fleet.reconnect(2)
    await fleet.start(1)
    await fleet.clock.advanceMs(8_000)
    expect(await send(heartbeat({ entries: [] }))).to.have.nested.property('error.code', -32004)
    expect(fleet.statusAt('daemon-0', 'daemon-1')).to.equal('reachable')
    await fleet.close()
  })
})
