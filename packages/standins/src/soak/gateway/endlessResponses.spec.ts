import { once } from 'node:events'
import { get } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { residentMbOf } from '../../measure/processUsage.js'
import { HOST_NAME } from './soakConfig.js'
import { SoakFleet } from './soakFleet.js'

type Bytes = 'head' | 'length' | 'chunks' | 'one-byte-chunks' | 'interim' | 'close-delimited' | 'second-answer' | 'idle-connection'

interface Outcome {
  readonly status: number
  readonly isComplete: boolean
  readonly elapsedMs: number
}

const DEADLINE_MS = 2_000
/** Time in which a connection with bytes without end is closed, and in which its caller gets an answer. */
const LATEST_END_MS = DEADLINE_MS + 1_000
const MAX_GROWTH_MB = 60
const FILLER = Buffer.alloc(65_536, 'x')
const CHUNK = Buffer.concat([Buffer.from('10000\r\n'), FILLER, Buffer.from('\r\n')])
const ONE_BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000))
const INTERIM = Buffer.from('HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n'.repeat(1_000))
const HEADER = Buffer.from(`${'x-filler: '.padEnd(1_000, 'x')}\r\n`)

/** Bytes that a target sends before those that never end, and the ones that it repeats. */
const STREAMS: Readonly<Record<Bytes, { readonly head: (id: string) => string, readonly repeated: Buffer }>> = {
  head: { head: id => `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.requestId}: ${id}\r\n`, repeated: HEADER },
  length: { head: id => `${signedHead(id)}content-length: 999999999999\r\n\r\n`, repeated: FILLER },
  chunks: { head: id => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n`, repeated: CHUNK },
  'one-byte-chunks': { head: id => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n`, repeated: ONE_BYTE_CHUNKS },
  interim: { head: () => '', repeated: INTERIM },
  'close-delimited': { head: id => `${signedHead(id)}\r\n`, repeated: FILLER },
  'second-answer': { head: id => `${signedHead(id)}content-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n`, repeated: HEADER },
  'idle-connection': { head: id => `${signedHead(id)}content-length: 2\r\n\r\nok`, repeated: FILLER }
}

const signedHead = (id: string): string => `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.requestId}: ${id}\r\n${PLATFORM_HEADERS.signature}: sig\r\n`

const writeForever = (socket: Socket, bytes: Buffer): void => {
  const write = (): void => {
    while (!socket.destroyed && socket.write(bytes));
  }
  socket.on('drain', write)
  write()
}

describe('bytes without end from a target', () => {
  let fleet: SoakFleet
  let endless: Server
  let open: Set<Socket>
  let kind: Bytes

  const answer = (socket: Socket): void => {
    open.add(socket)
    socket.on('error', () => {}).on('close', () => { open.delete(socket) })
    socket.once('data', (bytes: Buffer) => {
      const [, id = ''] = new RegExp(`${PLATFORM_HEADERS.requestId}: (\\S+)`, 'i').exec(bytes.toString()) ?? []
      const { head, repeated } = STREAMS[kind]
      socket.write(head(id))
      fleet.clock.after(kind === 'idle-connection' ? 100 : 0, () => { writeForever(socket, repeated) })
    })
  }

  const call = async (path: string, requestId: string): Promise<Outcome> => {
    const startedAtMs = fleet.clock.monotonicMs()
    const elapsedMs = (): number => fleet.clock.monotonicMs() - startedAtMs
    const [instance] = fleet.instances
    if (instance === undefined) throw new Error('no instance')
    const clientRequest = get(`${fleet.baseUrlOf(instance)}${path}`, { agent: false, headers: { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: requestId, [PLATFORM_HEADERS.deadline]: String(DEADLINE_MS) } })
    let isReset = false
    // If data and a reset are read at once, Node.js reports an orderly end; a connection that was reset has no peer address any more.
    clientRequest.on('socket', socket => { socket.prependOnceListener('end', () => { isReset ||= socket.remoteAddress === undefined }) })
    clientRequest.on('error', () => { isReset = true })
    const [response] = await once(clientRequest, 'response') as [IncomingMessage]
    const closed = once(clientRequest, 'close')
    try {
      for await (const chunk of response) expect(Buffer.isBuffer(chunk)).to.equal(true)
      await closed
      return { status: response.statusCode ?? 0, isComplete: !isReset, elapsedMs: elapsedMs() }
    } catch {
      return { status: response.statusCode ?? 0, isComplete: false, elapsedMs: elapsedMs() }
    }
  }

  before(async () => {
    fleet = await SoakFleet.create(SeededRandom.create(1), { instances: 1, targetsPerService: 1 })
    await fleet.pollUntilReady()
  })

  after(async () => { await fleet.close() })

  beforeEach(async () => {
    open = new Set()
    endless = createServer(answer)
    await new Promise<void>(resolve => { endless.listen(0, '127.0.0.1', () => { resolve() }) })
    const [menus] = fleet.targets.filter(({ service }) => service === 'menus')
    menus?.proxy.setDestination({ host: '127.0.0.1', port: (endless.address() as AddressInfo).port })
  })

  afterEach(() => {
    for (const socket of open) socket.destroy()
    endless.close()
  })

  for (const [name, isAnswerWhole] of [['head', true], ['length', false], ['chunks', false], ['one-byte-chunks', false], ['interim', true], ['close-delimited', false], ['second-answer', true], ['idle-connection', true]] as const) {
    it(`does not fill the memory or hold other requests up (${name})`, async () => {
      kind = name
      const daemons = fleet.instances.map(({ process: daemon }) => daemon)
      const beforeMb = await residentMbOf(daemons)
      const endlessCall = call('/menus/endless', `endless-${name}`)
      await fleet.clock.sleepMs(200)
      expect(await call('/orders/other', `other-${name}`)).to.include({ status: 200, isComplete: true })
      const outcome = await endlessCall
      expect(outcome.elapsedMs).to.be.below(LATEST_END_MS)
      expect(outcome.isComplete).to.equal(isAnswerWhole)
      // Interim responses carry nothing: a target that sends nothing else is not waited for.
      if (kind === 'interim') expect(outcome.elapsedMs).to.be.below(DEADLINE_MS / 2)
      expect(await residentMbOf(daemons) - beforeMb).to.be.below(MAX_GROWTH_MB)
      for (const endMs = fleet.clock.monotonicMs() + LATEST_END_MS; open.size > 0 && fleet.clock.monotonicMs() < endMs;) await fleet.clock.sleepMs(20)
      expect(open.size).to.equal(0)
    })
  }
})
