import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
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
const MAX_WAIT_MS = 5_000
const RESPONSES = 100

const collectGarbage = (): void => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
}

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
      peer.on('error', () => {}).once('data', () => { peer.end(HEAD + 'x'.repeat(BODY_BYTES)) })
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

  it('does not keep the read that brought its head once the body in it was read', async () => {
    collectGarbage()
    const { arrayBuffers: beforeBytes } = process.memoryUsage()
    const responses = await Promise.all(Array.from({ length: RESPONSES }, async () => await send({ awaitReadRoom: () => {} })))
    for (const { body } of responses) body.resume()
    await clock.sleepMs(QUIET_MS)
    collectGarbage()
    expect(process.memoryUsage().arrayBuffers - beforeBytes).to.be.below(RESPONSES * READ_BYTES / 4)
    for (const { body } of responses) body.destroy()
  })

  it('is read on to its end when room comes free while another response is being received', async () => {
    const waiting: Array<() => void> = []
    let isRoomFree = false
    const behind = await send({ awaitReadRoom: read => { if (isRoomFree) queueMicrotask(read); else waiting.push(read) } })
    const failures: unknown[] = []
    let behindBytes = 0
    behind.body.on('error', error => { failures.push(error) }).on('data', (chunk: Buffer) => { behindBytes += chunk.length })
    await clock.sleepMs(QUIET_MS)
    const other = await send()
    let otherBytes = 0
    other.body.on('error', error => { failures.push(error) }).on('data', (chunk: Buffer) => {
      otherBytes += chunk.length
      isRoomFree = otherBytes > BODY_BYTES / 2
      if (isRoomFree) for (const read of waiting.splice(0)) read()
    })
    for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && !(behind.body.readableEnded && other.body.readableEnded); waitedMs += 10) await clock.sleepMs(10)
    expect([failures.map(String), behindBytes, behind.body.readableEnded, other.body.readableEnded]).to.deep.equal([[], BODY_BYTES, true, true])
    for (const { body } of [behind, other]) body.destroy()
  })
})
