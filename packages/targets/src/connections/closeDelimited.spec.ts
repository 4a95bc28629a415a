import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Readable } from 'node:stream'
import { expect } from 'chai'
import { SystemClock } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import type { Clock, TargetRequest } from '@lovagehoist/common'
import { ConnectionSender } from './connectionSender.js'

const REQUEST: TargetRequest = { method: 'GET', path: '/', headers: [], body: undefined, isIdempotent: true, headTimeoutMs: 5_000, bodyIdleTimeoutMs: 5_000, allowsCloseDelimitedBody: true }
/** Fills what the body takes ahead of its reader, and no more. */
const FILLING_BYTES = 20_000
const PART = 'HTTP/1.1 200 OK\r\n\r\nhalf'

/** Sends a request to a server that responds without a length, and reads the body to its end. */
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

/** Sends a request to a server that answers without a length, and reads the body after a while. */
const receive = async (send: (socket: Socket) => void, { clock = SystemClock.create(), readAfterMs = 0, ...limits }: Partial<TargetRequest> & { readonly clock?: Clock, readonly readAfterMs?: number } = {}): Promise<string> => {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write('HTTP/1.1 200 OK\r\n\r\n', () => { send(socket) }) })
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const sender = ConnectionSender.create({ clock, connectTimeoutMs: () => 1_000 })
  try {
    const result = await sender.send(fakeTarget('t1', { port: (server.address() as AddressInfo).port }), { ...REQUEST, ...limits }, new AbortController().signal)
    if (result.type === 'failure') throw new Error(result.message)
    await SystemClock.create().sleepMs(readAfterMs)
    return Buffer.concat(await result.body.toArray()).toString()
  } finally {
    sender.close()
    server.close()
  }
}

describe('responses delimited by the close of their connection', () => {
  it('are complete when the target closes the connection in an orderly way', async () => {
    expect(await bodyOf(socket => { socket.end() })).to.equal('half')
  })

  it('are broken when the connection is reset', async () => {
    // The head has to be read before the reset, which discards data still in transit.
    const resetLater = (socket: Socket): void => { setTimeout(() => { socket.resetAndDestroy() }, 50) } // eslint-disable-line no-restricted-globals -- real sockets
    expect(await bodyOf(resetLater)).to.equal('broken')
  })

  it('are broken when the reset comes together with the last bytes', async () => {
    expect(await bodyOf(socket => { socket.resetAndDestroy() })).to.be.oneOf(['broken', 'reset'])
  })

  it('do not include chunked responses that end before their last chunk, even if the target announced the close', async () => {
    const part = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'
    expect(await bodyOf(socket => { socket.end() }, part)).to.equal('broken')
    expect(await bodyOf(socket => { socket.end() }, `${part}0\r\n\r\n`)).to.equal('half')
  })

  for (const bytes of [10_000, 65_536, 100_000, 200_000]) {
    it(`are whole when the target closes the connection before its ${bytes} bytes are read`, async () => {
      const body = await receive(socket => { socket.end('x'.repeat(bytes)) }, { clock: ManualClock.create(), readAfterMs: 50 })
      expect(body.length).to.equal(bytes)
    })
  }

  for (const [name, endUnread] of Object.entries({
    'the target resets the connection': (_body: Readable, socket: Socket): void => { socket.resetAndDestroy() },
    'the reader discards the body': (body: Readable): void => { body.destroy() }
  })) {
    it(`do not end the process when ${name} while data wait to be read`, async () => {
      const sockets: Socket[] = []
      const server = createServer(socket => {
        sockets.push(socket.on('error', () => {}))
        socket.once('data', () => { socket.write(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(1_000_000)}`) })
      }).listen(0, '127.0.0.1')
      await once(server, 'listening')
      const clock = ManualClock.create()
      const sender = ConnectionSender.create({ clock, connectTimeoutMs: () => 1_000 })
      const result = await sender.send(fakeTarget('t1', { port: (server.address() as AddressInfo).port }), REQUEST, new AbortController().signal)
      if (result.type === 'failure') throw new Error(result.message)
      await SystemClock.create().sleepMs(100)
      const [socket] = sockets
      if (socket === undefined) throw new Error('no connection')
      result.body.on('error', () => {})
      endUnread(result.body, socket)
      expect(await result.body.toArray().catch(() => 'broken')).to.equal('broken')
      await SystemClock.create().sleepMs(100)
      sender.close()
      for (const open of sockets) open.destroy()
      server.close()
    })
  }

  it('are read to their end beyond the time limit of the head, as long as they go on', async () => {
    const sendSlowly = async (socket: Socket): Promise<void> => {
      for (let part = 0; part < 6; part++) {
        await SystemClock.create().sleepMs(50)
        socket.write('x')
      }
      socket.end()
    }
    expect(await receive(socket => { sendSlowly(socket).catch(() => {}) }, { headTimeoutMs: 150, bodyIdleTimeoutMs: 150 })).to.equal('xxxxxx')
  })

  it('are broken when nothing more arrives in time', async () => {
    expect(await receive(socket => { socket.write('half') }, { bodyIdleTimeoutMs: 100 }).catch((error: Error) => error.message)).to.equal('the response body stalled')
  })

  it('are not given up because their reader was behind: the target has its time from the moment on at which the reader wants more', async () => {
    const send = (socket: Socket): void => {
      socket.write('x'.repeat(FILLING_BYTES))
      SystemClock.create().after(350, () => { socket.end('end') })
    }
    const body = await receive(send, { bodyIdleTimeoutMs: 300, readAfterMs: 250 })
    expect(body.length).to.equal(FILLING_BYTES + 'end'.length)
  })
})
