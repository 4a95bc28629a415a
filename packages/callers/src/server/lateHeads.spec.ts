import { once } from 'node:events'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock, silentLog } from '@lovagehoist/common'
import { CallerServer } from './callerServer.js'

const LIMITS = { maxHeadBytes: 4_096, headTimeoutMs: 3_000, requestTimeoutMs: 10_000, maxConnections: 500 }
const REQUEST = 'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'
/** Node.js looks for late heads every 30 s only; tests report them themselves. */
const LATE_HEAD = Object.assign(new Error('Request timeout'), { code: 'ERR_HTTP_REQUEST_TIMEOUT' })
const SETTLE_MS = 100

describe('a head that does not arrive in time', () => {
  let callers: CallerServer
  let caller: Socket
  let accepted: Socket
  let text: string
  let served: number
  let release: () => void

  beforeEach(async () => {
    served = 0
    text = ''
    release = () => {}
    callers = await CallerServer.create({
      address: { host: '127.0.0.1', port: 0 },
      limits: LIMITS,
      clock: SystemClock.create(),
      log: silentLog,
      handler: async (_request, response) => {
        served++
        const releaseEarlier = release
        await new Promise<void>(resolve => {
          release = () => {
            releaseEarlier()
            resolve()
          }
        })
        response.end('ok')
      }
    })
    const { server } = callers as unknown as { readonly server: Server }
    const connected = once(server, 'connection') as Promise<[Socket]>
    caller = connect({ host: '127.0.0.1', port: callers.port, allowHalfOpen: true })
    caller.on('error', () => {}).on('data', data => { text += String(data) })
    accepted = (await connected)[0]
  })

  afterEach(() => {
    caller.destroy()
    callers.close()
  })

  const reportLateHead = (): void => { (callers as unknown as { readonly server: Server }).server.emit('clientError', LATE_HEAD, accepted) }

  it('is answered with 408, and a request that crosses this answer is not served', async () => {
    reportLateHead()
    caller.write(REQUEST)
    await pause(SETTLE_MS)
    expect([served, text.split('\r\n')[0]]).to.deep.equal([0, 'HTTP/1.1 408 Request Timeout'])
  })

  it('does not cost the answer to the request before it', async () => {
    caller.write(`${REQUEST}POST /y HT`)
    await pause(SETTLE_MS)
    reportLateHead()
    await pause(SETTLE_MS)
    release()
    await once(caller, 'end')
    expect([served, text.split('\r\n')[0], /connection: close/i.test(text)]).to.deep.equal([1, 'HTTP/1.1 200 OK', true])
  })

  it('behind pipelined requests that were answered does not leave its connection open for ever', async () => {
    caller.write(REQUEST + REQUEST)
    await pause(SETTLE_MS)
    release()
    await pause(SETTLE_MS)
    caller.write('POST /y HT')
    await pause(SETTLE_MS)
    reportLateHead()
    caller.write('TP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n')
    caller.end()
    await pause(SETTLE_MS)
    expect([served, callers.connectionCount]).to.deep.equal([2, 0])
  })
})
