import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '@lovagehoist/common'
import { fakeTarget } from '@lovagehoist/common/testing'
import type { TargetRequest, TargetResponse } from '@lovagehoist/common'
import { ConnectionSender } from './connectionSender.js'

const REQUEST: TargetRequest = { method: 'GET', path: '/', headers: [], body: undefined, isIdempotent: true, headTimeoutMs: 5_000, bodyIdleTimeoutMs: 5_000 }
/** Node.js reads at most this much at once. */
const READ_BYTES = 65_536
const BODY_BYTES = 40 * READ_BYTES
const HEAD = `HTTP/1.1 200 OK\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`
const QUIET_MS = 300

describe('a response that its reader leaves unread', () => {
  const clock = SystemClock.create()
  let server: Server
  let sender: ConnectionSender
  let socket: Socket | undefined

  /** Bytes that the process has read from the target's socket. */
  const readBytes = (): number => socket?.bytesRead ?? 0

  const send = async (request: Partial<TargetRequest> = {}): Promise<TargetResponse> => {
    const result = await sender.send(fakeTarget('t1', { port: (server.address() as AddressInfo).port }), { ...REQUEST, ...request }, new AbortController().signal)
    if (result.type === 'failure') throw new Error(result.message)
    return result
  }

  beforeEach(async () => {
    server = createServer(peer => {
      peer.on('error', () => {}).once('data', () => { peer.write(HEAD, () => { peer.end(Buffer.alloc(BODY_BYTES, 'x')) }) })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const openSocket: typeof connect = (...args: unknown[]) => (socket = connect(...args as Parameters<typeof connect>))
    sender = ConnectionSender.create({ clock, connectTimeoutMs: () => 1_000, openSocket })
  })

  afterEach(() => {
    sender.close()
    server.close()
  })

  it('is not read from its target beyond one read of the socket for the body and one behind the head', async () => {
    const { body } = await send()
    body.once('data', () => { body.pause() })
    await clock.sleepMs(QUIET_MS)
    expect(readBytes()).to.be.within(1, HEAD.length + 2 * READ_BYTES)
    body.destroy()
  })

  it('is read on only when there is room, and then to its end', async () => {
    const reads: Array<() => void> = []
    const { body } = await send({ awaitReadRoom: read => { reads.push(read) } })
    const chunks: Buffer[] = []
    body.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    await clock.sleepMs(QUIET_MS)
    expect(reads.length).to.equal(1)
    expect(readBytes()).to.be.below(HEAD.length + 2 * READ_BYTES)
    const ended = once(body, 'end')
    for (let granted = 0; !body.readableEnded; await clock.sleepMs(1)) {
      for (const read of reads.slice(granted)) read()
      granted = reads.length
    }
    await ended
    expect(Buffer.concat(chunks).equals(Buffer.alloc(BODY_BYTES, 'x'))).to.equal(true)
  })
})
