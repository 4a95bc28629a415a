import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { expect } from 'chai'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import type { TargetRequest } from '@lovagehoist/common'
import { ConnectionSender } from './targetSender.js'

const REQUEST: TargetRequest = { method: 'GET', path: '/', headers: [], body: undefined, isIdempotent: true, headTimeoutMs: 5_000, bodyIdleTimeoutMs: 5_000, allowsCloseDelimitedBody: true }
const PART = 'HTTP/1.1 200 OK\r\n\r\nhalf'

/** Sends a request to a target that answers without a length, and reads the body to its end. */
const bodyOf = async (end: (socket: Socket) => void, part = PART): Promise<string> => {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(part, () => { end(socket) }) })
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const sender = ConnectionSender.create({ clock: ManualClock.create(), connectTimeoutMs: () => 1_000 })
  try {
    const result = await sender.send(fakeTarget('t1', { port: (server.address() as AddressInfo).port }), REQUEST, new AbortController().signal)
    if (result.type === 'failure') return result.outcome
    const chunks = await result.body.toArray().catch(() => undefined)
    return chunks === undefined ? 'broken' : Buffer.concat(chunks).toString()
  } finally {
    sender.close()
    server.close()
  }
}

describe('answers that end with their connection', () => {
  it('are whole when the target closes the connection in order', async () => {
    expect(await bodyOf(socket => { socket.end() })).to.equal('half')
  })

  it('are broken when the connection is reset', async () => {
    // The head has to be read before the reset, which discards what is still on its way.
    const resetLater = (socket: Socket): void => { setTimeout(() => { socket.resetAndDestroy() }, 50) } // eslint-disable-line no-restricted-globals -- real sockets
    expect(await bodyOf(resetLater)).to.equal('broken')
  })

  it('are broken when the reset comes together with the last bytes', async () => {
    expect(await bodyOf(socket => { socket.resetAndDestroy() })).to.be.oneOf(['broken', 'reset'])
  })

  it('are no chunked ones that end before their last chunk, although the target announced the close', async () => {
    const part = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'
    expect(await bodyOf(socket => { socket.end() }, part)).to.equal('broken')
    expect(await bodyOf(socket => { socket.end() }, `${part}0\r\n\r\n`)).to.equal('half')
  })
})
