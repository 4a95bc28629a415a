import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { SystemClock } from '@lovagehoist/common'
import { fakeTarget } from '@lovagehoist/common/testing'
import type { Target, TargetRequest } from '@lovagehoist/common'
import { ConnectionSender } from './connectionSender.js'

/** More than the socket buffers of both sides hold. */
const LARGE_BODY = Buffer.alloc(16_000_000, 'b')
const RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
const LONG_MS = 10_000
const PAUSE_MS = 50
const NEVER = new AbortController().signal

const request = (body: Buffer): TargetRequest =>
  ({ method: 'POST', path: '/', headers: ['host', 'h'], body, isIdempotent: false, headTimeoutMs: LONG_MS, bodyIdleTimeoutMs: LONG_MS })

describe('a target that responds before the end of the request body', () => {
  const clock = SystemClock.create()
  let server: Server
  let target: Target
  let sender: ConnectionSender
  let sockets: Socket[]
  let received: Buffer[][]
  /** What the target does once it has responded to a request whose body has not ended. */
  let afterResponse: (socket: Socket) => void

  const exchange = async (body: Buffer): Promise<string> => {
    const sent = await sender.send(target, request(body), NEVER)
    if (sent.type === 'failure') return `${sent.outcome} ${sent.verdict}`
    const chunks: Buffer[] = []
    for await (const chunk of sent.body) chunks.push(chunk as Buffer)
    return `${sent.status} ${Buffer.concat(chunks).toString()}`
  }

  beforeEach(async () => {
    sockets = []
    received = []
    server = createServer(socket => {
      const bytes: Buffer[] = []
      sockets.push(socket)
      received.push(bytes)
      socket.on('error', () => {}).on('data', (chunk: Buffer) => {
        const isFirst = bytes.length === 0
        bytes.push(chunk)
        if (!isFirst) return
        socket.write(RESPONSE)
        if (chunk.length > 1_000) afterResponse(socket)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    target = fakeTarget('t1', { port: (server.address() as AddressInfo).port })
    sender = ConnectionSender.create({ clock, connectTimeoutMs: () => LONG_MS })
  })

  afterEach(() => {
    sender.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  for (const [name, action] of [
    ['reads no further', (socket: Socket) => { socket.pause() }],
    ['reads on', () => {}],
    ['ends its side', (socket: Socket) => { socket.pause().end() }]
  ] as const) {
    it(`gets its response passed on and nothing but that body on the connection (${name})`, async () => {
      afterResponse = action
      expect(await exchange(LARGE_BODY)).to.equal('200 ok')
      expect(await exchange(Buffer.from('second'))).to.equal('200 ok')
      expect(sockets).to.have.length(2)
      await clock.sleepMs(PAUSE_MS)
      expect(sender.hasIdle('t1', false)).to.equal(true)
      const [first] = received
      const text = Buffer.concat(first ?? []).toString('latin1')
      const bodyAt = text.indexOf('\r\n\r\n') + 4
      expect(text.slice(bodyAt).replaceAll('b', '')).to.equal('')
    })
  }
})
