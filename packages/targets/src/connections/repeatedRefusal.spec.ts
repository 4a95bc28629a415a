import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { setImmediate as turn } from 'node:timers/promises'
import { expect } from 'chai'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import type { Target, TargetRequest } from '@lovagehoist/common'
import { ConnectionSender } from './connectionSender.js'

const NEVER = new AbortController().signal
const TURNS = 50

const refusalOf = (id: string): string => `HTTP/1.1 503 Busy\r\nx-id: ${id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n`
const answerOf = (id: string): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 2\r\n\r\nok`

describe('a target that writes an earlier refusal once more on a kept connection', () => {
  let server: Server
  let sender: ConnectionSender
  let target: Target
  const sockets: Socket[] = []
  /** What the target writes for each request, by its number. */
  let replies: ReadonlyArray<(id: string) => string>
  let requests: number

  beforeEach(async () => {
    requests = 0
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.on('data', data => {
        const [, id = ''] = /x-id: (\S+)/.exec(data.toString('latin1')) ?? []
        socket.write(replies[requests++]?.(id) ?? answerOf(id))
      })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    target = fakeTarget('t1', { port: (server.address() as AddressInfo).port })
    sender = ConnectionSender.create({ clock: ManualClock.create(), connectTimeoutMs: () => 1_000 })
  })

  afterEach(() => {
    sender.close()
    for (const socket of sockets.splice(0)) socket.destroy()
    server.close()
  })

  const createRequest = (id: string): TargetRequest => ({
    method: 'POST',
    path: '/pay',
    headers: ['host', 'x', 'x-id', id],
    body: undefined,
    isIdempotent: false,
    headTimeoutMs: 1_000,
    bodyIdleTimeoutMs: 1_000,
    id,
    isRefusal: (_status, headers) => headers.includes('not-executed'),
    findResponseMismatch: (_status, headers) => headers[headers.indexOf('x-id') + 1] === id ? undefined : 'the answer repeats another request id'
  })

  const send = async (id: string): Promise<string> => {
    const result = await sender.send(target, createRequest(id), NEVER)
    if (result.type === 'failure') return `${result.verdict} ${result.outcome}`
    for await (const chunk of result.body) expect(chunk).to.have.length(2)
    return String(result.status)
  }

  it('does not pass for a refusal of a later request with the same id', async () => {
    replies = [refusalOf, () => '']
    expect(await send('a')).to.equal('503')
    const second = send('a')
    for (let count = 0; count < TURNS; count++) await turn()
    expect(requests).to.equal(2)
    sockets[0]?.write(refusalOf('a'))
    for (let count = 0; count < TURNS; count++) await turn()
    sockets.at(-1)?.write(answerOf('a'))
    expect(await second).to.equal('200')
  })

  it('does not pass for a refusal of another request, in whatever way it arrives', async () => {
    replies = [refusalOf, () => `${refusalOf('a')}${answerOf('b')}`]
    expect([await send('a'), await send('b')]).to.deep.equal(['503', 'may-have-run broken-answer'])
    requests = 0
    replies = [id => `${refusalOf(id)}${refusalOf(id)}`, answerOf]
    expect([await send('c'), await send('d')]).to.deep.equal(['503', '200'])
  })

  it('does not pass for an answer when it arrives while the connection is idle', async () => {
    replies = [refusalOf, answerOf]
    expect(await send('a')).to.equal('503')
    sockets[0]?.write(refusalOf('a'))
    for (let count = 0; count < TURNS; count++) await turn()
    expect(await send('a')).to.equal('200')
    expect(sockets).to.have.length(2)
  })

  it('does not prove anything without the id of the request', async () => {
    replies = [() => 'HTTP/1.1 400 Bad Request\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n']
    expect(await send('a')).to.equal('may-have-run broken-answer')
  })
})
