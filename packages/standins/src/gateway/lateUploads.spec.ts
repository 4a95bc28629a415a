import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { GatewayFleet, HOST_NAME } from './gatewayFleet.js'

const WORK_MS = 900
/** Times after the SIGTERM at which the last byte of an upload arrives; all heads arrive before it is too late for any request. */
const LAST_BYTES_MS = [500, 1_500, 2_500, 3_000, 3_400, 3_800, 4_200, 4_600, 5_000, 5_100]
/** Never arrives. */
const UNENDED = 60_000
const GRACE_MS = 6_000
const DEADLINE_MS = 15_000

interface Upload {
  readonly id: string
  readonly answer: string
  readonly answeredAtMs: number
}

/** Guards against uploads that are read to their end late in the grace period, passed on, and cut off at its end. */
describe('uploads while an instance leaves, end to end', () => {
  let fleet: GatewayFleet

  before(async () => {
    fleet = await GatewayFleet.create()
    fleet.configure([{ prefix: '/put/', kind: 'unsafe', service: 's', timeoutMs: 12_000 }])
    for (const id of ['t1', 't2', 't3']) (await fleet.addTarget(id, 's')).workMs = WORK_MS
    await fleet.addDaemon()
    for (let index = 0; index < 5; index++) await fleet.call({ path: '/put/x', method: 'POST', body: 'b' })
  })

  after(async () => { await fleet.close() })

  const upload = async (startedAtMs: number, lastByteMs: number): Promise<Upload> => {
    const id = `upload-${lastByteMs}`
    const { host = '', port = 0 } = fleet.daemons[0]?.callerAddress ?? {}
    const socket = connect(port, host).on('error', () => {})
    await once(socket, 'connect')
    let answer = ''
    let answeredAtMs = Infinity
    socket.on('data', data => {
      answer += String(data)
      answeredAtMs = Math.min(answeredAtMs, fleet.clock.monotonicMs() - startedAtMs)
    })
    socket.write(`POST /put/x HTTP/1.1\r\nHost: ${HOST_NAME}\r\n${PLATFORM_HEADERS.requestId}: ${id}\r\n${PLATFORM_HEADERS.deadline}: ${DEADLINE_MS}\r\nContent-Length: 10\r\n\r\n123456789`)
    const cancel = fleet.clock.after(Math.max(0, startedAtMs + lastByteMs - fleet.clock.monotonicMs()), () => { socket.write('0') })
    await once(socket, 'close')
    cancel()
    return { id, answer, answeredAtMs }
  }

  it('are answered, or refused as not run as soon as they cannot end in time', async () => {
    const startedAtMs = fleet.clock.monotonicMs()
    const uploads = [...LAST_BYTES_MS, UNENDED].map(async lastByteMs => await upload(startedAtMs, lastByteMs))
    await fleet.clock.sleepMs(50)
    const drained = fleet.daemons[0]?.daemon.drain()
    const results = await Promise.all(uploads)
    await drained
    expect(fleet.clock.monotonicMs() - startedAtMs).to.be.below(GRACE_MS)
    for (const { id, answer, answeredAtMs } of results) {
      const runs = fleet.runs().filter(({ requestId }) => requestId === id).length
      const status = /^HTTP\/1\.1 (\d+)/.exec(answer)?.[1]
      expect([id, status, runs]).to.deep.equal(status === '200' ? [id, '200', 1] : [id, '503', 0])
      if (status === '503') expect([/retry-after: 0/i.test(answer), answeredAtMs < 3_500]).to.deep.equal([true, true])
    }
    expect(results.filter(({ answer }) => answer.startsWith('HTTP/1.1 200')).length).to.be.at.least(3)
    expect(fleet.logLines.find(({ message }) => message === 'daemon left')?.cutExchanges).to.equal(0)
  })
})
