import { expect } from 'chai'
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { silentLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { BufferBudget } from '../buffering/bufferBudget.js'
import type { BufferHold } from '../buffering/bufferHold.js'
import { closeHoldAfter } from '../buffering/closeHoldAfter.js'
import { CallerServer } from '../server/callerServer.js'
import { deliver } from './deliver.js'
import type { Delivery } from './deliver.js'

const LIMITS = { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 50 }
const STALL_MS = 10_000
const REQUEST = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
/** More than the socket buffers of both sides hold. */
const LARGE_BYTES = 24_000_000
const CHUNK = Buffer.alloc(65_536, 'c')
const MAX_TURNS = 600

const settle = async (isDone: () => boolean): Promise<void> => {
  // eslint-disable-next-line no-restricted-globals -- lets sockets run without advancing the manual clock
  for (let turn = 0; turn < MAX_TURNS && !isDone(); turn++) await new Promise<void>(resolve => { setTimeout(resolve, 1) })
}

describe('delivery at the pace of the caller', () => {
  let clock: ManualClock
  let budget: BufferBudget
  let breaches: string[]
  let server: CallerServer
  let socket: Socket
  let receivedBytes: number
  let stalled: number
  let delivery: Delivery | undefined
  let respond: (response: ServerResponse, hold: BufferHold) => Promise<Delivery>

  const deliverBody = async (response: ServerResponse, hold: BufferHold, buffered: Buffer, rest?: PassThrough): Promise<Delivery> => await deliver(
    { response, requestId: 'r', method: 'GET', invariants: { check: () => {} } as unknown as Parameters<typeof deliver>[0]['invariants'], pacing: { clock, hold, onStalled: () => { stalled++ } } },
    { status: 200, headers: rest === undefined ? ['content-length', String(buffered.length)] : ['transfer-encoding', 'chunked'], buffered, rest, trailers: () => [] })

  beforeEach(async () => {
    clock = ManualClock.create()
    breaches = []
    budget = BufferBudget.create({ capacityBytes: 64_000_000, invariants: { check: (name, holds) => { if (!holds) breaches.push(name) } } })
    receivedBytes = 0
    stalled = 0
    delivery = undefined
    server = await CallerServer.create({
      address: { host: '127.0.0.1', port: 0 },
      limits: LIMITS,
      clock,
      log: silentLog,
      handler: async (_request, response) => {
        const hold = budget.open()
        try {
          delivery = await respond(response, hold)
        } finally {
          closeHoldAfter(response, hold)
        }
      }
    })
    socket = connect(server.port, '127.0.0.1')
    socket.on('data', data => { receivedBytes += data.length }).on('error', () => {})
    await once(socket, 'connect')
  })

  afterEach(async () => {
    socket.destroy()
    await settle(() => budget.heldFor('response') === 0)
    server.close()
    expect([budget.heldFor('response'), breaches]).to.deep.equal([0, []])
  })

  it('disconnects a caller that reads nothing of a buffered response, and frees its bytes', async () => {
    respond = async (response, hold) => {
      hold.addResponse(LARGE_BYTES)
      return await deliverBody(response, hold, Buffer.alloc(LARGE_BYTES))
    }
    socket.pause()
    socket.write(REQUEST)
    await settle(() => budget.heldFor('response') === LARGE_BYTES)
    await settle(() => false)
    await clock.advanceMs(STALL_MS - 1)
    expect([stalled, budget.heldFor('response')]).to.deep.equal([0, LARGE_BYTES])
    await clock.advanceMs(STALL_MS)
    await settle(() => delivery !== undefined)
    expect([stalled, delivery]).to.deep.equal([1, 'caller-gone'])
  })

  it('keeps a caller that reads slowly for as long as it makes progress', async () => {
    respond = async (response, hold) => {
      hold.addResponse(LARGE_BYTES)
      return await deliverBody(response, hold, Buffer.alloc(LARGE_BYTES))
    }
    socket.write(REQUEST)
    let pauses = 0
    socket.on('data', () => { socket.pause() })
    const isDelivered = (): boolean => delivery !== undefined
    while (!isDelivered()) {
      await settle(() => socket.isPaused() || isDelivered())
      if (pauses++ % 40 === 0) await clock.advanceMs(STALL_MS / 2)
      socket.resume()
    }
    socket.removeAllListeners('data').on('data', data => { receivedBytes += data.length }).resume()
    expect([stalled, delivery]).to.deep.equal([0, 'answer'])
  })

  it('reads a response ahead of its caller up to a limit, and passes on every byte', async () => {
    const rest = new PassThrough()
    let sentBytes = 0
    respond = async (response, hold) => await deliverBody(response, hold, Buffer.from('begin'), rest)
    socket.pause()
    socket.write(REQUEST)
    const write = (): void => {
      while (sentBytes < LARGE_BYTES) {
        sentBytes += CHUNK.length
        if (!rest.write(CHUNK)) return
      }
      rest.end()
    }
    rest.pause().on('drain', write)
    write()
    await settle(() => false)
    expect(budget.heldFor('response')).to.be.within(2_000_000, 4_194_304 + CHUNK.length)
    socket.resume()
    await settle(() => receivedBytes > sentBytes)
    await settle(() => delivery !== undefined)
    expect([delivery, stalled]).to.deep.equal(['answer', 0])
  })

  it('streams through a budget that is exhausted', async () => {
    const others = budget.open()
    others.addResponse(budget.capacityBytes)
    const rest = new PassThrough()
    respond = async (response, hold) => await deliverBody(response, hold, Buffer.from('begin'), rest)
    socket.write(REQUEST)
    await settle(() => receivedBytes > 0)
    for (let index = 0; index < 100; index++) {
      if (!rest.write(CHUNK)) await once(rest, 'drain')
      expect(budget.heldFor('response') - budget.capacityBytes).to.be.at.most(3 * CHUNK.length)
    }
    rest.end()
    await settle(() => delivery !== undefined)
    expect(delivery).to.equal('answer')
    others.close()
  })

  it('delivers a response whose rest ended before its delivery began', async () => {
    const rest = new PassThrough()
    rest.end()
    rest.resume()
    await once(rest, 'close')
    respond = async (response, hold) => await deliverBody(response, hold, Buffer.from('whole'), rest)
    socket.write(REQUEST)
    await settle(() => delivery !== undefined)
    expect(delivery).to.equal('answer')
  })

  it('resets the connection when the response breaks off', async () => {
    const rest = new PassThrough()
    respond = async (response, hold) => await deliverBody(response, hold, Buffer.from('begin'), rest)
    socket.write(REQUEST)
    await settle(() => receivedBytes > 0)
    rest.destroy(new Error('broken off'))
    await settle(() => delivery !== undefined && socket.destroyed)
    expect([delivery, socket.errored instanceof Error]).to.deep.equal(['broken', true])
  })
})
