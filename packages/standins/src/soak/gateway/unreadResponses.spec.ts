import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { memoryOf } from '../../measure/processUsage.js'
import { HOST_NAME } from './soakConfig.js'
import { SoakFleet } from './soakFleet.js'

const CALLERS = 200
/** Share of the limit that the process may take. */
const MAX_SHARE = 0.9
const DEADLINE_MS = 4_000
const FILLER = Buffer.alloc(65_536, 'x')
const CHUNK = Buffer.concat([Buffer.from('10000\r\n'), FILLER, Buffer.from('\r\n')])

const FRAMINGS = {
  length: { head: 'content-length: 900000000', repeated: FILLER },
  chunks: { head: 'transfer-encoding: chunked', repeated: CHUNK }
}

/** Guards against responses that callers leave unread and that end the process over its memory limit. */
describe('responses that callers leave unread', () => {
  let fleet: SoakFleet
  let target: Server
  const open = new Set<Socket>()
  let framing: keyof typeof FRAMINGS

  const answer = (socket: Socket): void => {
    open.add(socket)
    socket.on('error', () => {}).on('close', () => { open.delete(socket) })
    socket.on('data', (bytes: Buffer) => {
      const [, id] = new RegExp(`${PLATFORM_HEADERS.requestId}: (\\S+)`, 'i').exec(bytes.toString()) ?? []
      if (id === undefined) {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        return
      }
      const { head, repeated } = FRAMINGS[framing]
      socket.write(`HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.requestId}: ${id}\r\n${PLATFORM_HEADERS.signature}: sig\r\n${head}\r\n\r\n`)
      const write = (): void => {
        while (!socket.destroyed && socket.write(repeated));
      }
      socket.on('drain', write)
      write()
    })
  }

  const leaveUnread = async (id: string): Promise<Socket> => {
    const [instance] = fleet.instances
    if (instance === undefined) throw new Error('no instance')
    const { hostname, port } = new URL(fleet.baseUrlOf(instance))
    const socket = connect(Number(port), hostname).on('error', () => {}).pause()
    await once(socket, 'connect')
    socket.write(`GET /menus/endless HTTP/1.1\r\nHost: ${HOST_NAME}\r\n${PLATFORM_HEADERS.requestId}: ${id}\r\n${PLATFORM_HEADERS.deadline}: ${DEADLINE_MS}\r\n\r\n`)
    return socket
  }

  afterEach(async () => {
    for (const socket of open) socket.destroy()
    target.close()
    await fleet.close()
  })

  for (const [memoryMb, name] of [[202, 'length'], [350, 'length'], [202, 'chunks']] as const) {
    it(`leave a process below its memory limit (${memoryMb} MB, ${name})`, async () => {
      framing = name
      fleet = await SoakFleet.create(SeededRandom.create(1), { instances: 1, targetsPerService: 1, memoryMb })
      await fleet.pollUntilReady()
      target = createServer(answer)
      await new Promise<void>(resolve => { target.listen(0, '127.0.0.1', () => { resolve() }) })
      const [menus] = fleet.targets.filter(({ service }) => service === 'menus')
      menus?.proxy.setDestination({ host: '127.0.0.1', port: (target.address() as AddressInfo).port })
      const callers = await Promise.all(Array.from({ length: CALLERS }, async (_, index) => await leaveUnread(`unread-${memoryMb}-${name}-${index}`)))
      await fleet.clock.sleepMs(DEADLINE_MS)
      const [instance] = fleet.instances
      if (instance === undefined) throw new Error('no instance')
      const { peakResidentMb } = await memoryOf(instance.process)
      for (const caller of callers) caller.destroy()
      expect(instance.process.hasExited).to.equal(false)
      expect(peakResidentMb).to.be.below(MAX_SHARE * memoryMb)
    })
  }
})
