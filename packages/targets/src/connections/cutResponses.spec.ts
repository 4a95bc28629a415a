import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import type { TargetRequest } from '@lovagehoist/common'
import { ConnectionSender } from './connectionSender.js'

const NEVER = new AbortController().signal
const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
const RESPONSES: Readonly<Record<string, string>> = {
  'with a length': 'HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 4\r\n\r\nbody',
  chunked: 'HTTP/1.1 200 OK\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
  'chunked with trailers': 'HTTP/1.1 200 OK\r\nx-signature: s\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n4\r\nbody\r\n0\r\nx-sum: 1\r\n\r\n',
  'after an interim response': 'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody',
  'HTTP/1.0 with a length': 'HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nbody'
}
const REQUEST: TargetRequest = { method: 'GET', path: '/', headers: ['host', 'x'], body: undefined, isIdempotent: true, headTimeoutMs: 1_000, bodyIdleTimeoutMs: 1_000, allowsCloseDelimitedBody: true }

describe('a target that stops in the middle of its response and closes the connection', function () {
  this.timeout(60_000)
  let server: Server
  let sender: ConnectionSender
  let responses: string[]
  const sockets = new Set<Socket>()

  beforeEach(async () => {
    server = createServer(socket => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => { sockets.delete(socket) })
      socket.on('data', () => {
        const response = responses.shift() ?? ''
        if (response === WHOLE) socket.write(response)
        else socket.end(response)
      })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    sender = ConnectionSender.create({ clock: ManualClock.create(), connectTimeoutMs: () => 1_000 })
  })

  afterEach(() => {
    sender.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  const send = async (): Promise<string> => {
    const result = await sender.send(fakeTarget('t1', { port: (server.address() as AddressInfo).port }), REQUEST, NEVER)
    if (result.type === 'failure') return result.verdict
    try {
      let body = ''
      for await (const chunk of result.body) body += String(chunk)
      return `${result.status} ${body}`
    } catch {
      return 'broken'
    }
  }

  for (const [name, response] of Object.entries(RESPONSES)) {
    for (const isKept of [false, true]) {
      it(`is not taken for a complete response (${name}, ${isKept ? 'kept' : 'new'} connection)`, async () => {
        const taken: string[] = []
        for (let length = 1; length <= response.length; length++) {
          sender.close()
          responses = isKept ? [WHOLE, response.slice(0, length)] : [response.slice(0, length)]
          if (isKept) expect(await send()).to.equal('200 ok')
          const outcome = await send()
          if (outcome.startsWith('200')) taken.push(`${length}: ${outcome}`)
        }
        expect(taken).to.deep.equal([`${response.length}: 200 body`])
      })
    }
  }
})
