import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import type { Address } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { createPeerDocumentHandler, fetchPeerDocument } from './peerDocuments.js'

const CHUNK = 'x'.repeat(10_000)

describe('documents of other daemons', () => {
  let clock: ManualClock
  let server: Server
  let address: Address
  let responses: ServerResponse[]

  beforeEach(async () => {
    clock = ManualClock.create()
    responses = []
    server = createServer((_request, response) => { responses.push(response) }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  const startFetch = async (): Promise<{ readonly fetched: ReturnType<typeof fetchPeerDocument>, readonly response: ServerResponse }> => {
    const requested = once(server, 'request')
    const fetched = fetchPeerDocument(clock, address, 'configuration')
    await requested
    const [response] = responses
    if (response === undefined) throw new Error('no request arrived')
    return { fetched, response }
  }

  /** Sends a part and waits until it has left, then lets time pass. */
  const sendPart = async (response: ServerResponse, afterMs: number): Promise<void> => {
    await new Promise<void>(resolve => { response.write(CHUNK, () => { resolve() }) })
    await clock.advanceMs(afterMs)
  }

  it('does not throw away a large document that is still arriving after the time limit', async () => {
    const { fetched, response } = await startFetch()
    for (let part = 0; part < 4; part++) await sendPart(response, 700)
    response.end()
    expect((await fetched).unwrapOr('')).to.have.length(4 * CHUNK.length)
  })

  it('gives up a document of which nothing arrives any more', async () => {
    const { fetched, response } = await startFetch()
    await sendPart(response, 1_100)
    expect((await fetched).isErr()).to.equal(true)
  })

  it('does not send a large document uncompressed over slow links', async () => {
    const text = JSON.stringify(Array.from({ length: 1_000 }, (_, index) => ({ name: `route-${index}`, path_prefix: `/p-${index}` })))
    const serve = createPeerDocumentHandler({ configuration: () => text, targets: () => undefined })
    let bytes = 0
    server.removeAllListeners('request').on('request', (request, response) => {
      request.socket.on('close', () => { bytes += request.socket.bytesWritten })
      serve(request, response).catch(() => {})
    })
    expect((await fetchPeerDocument(clock, address, 'configuration')).unwrapOr('')).to.equal(text)
    expect((await fetchPeerDocument(clock, address, 'targets')).isErr()).to.equal(true)
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    expect(bytes).to.be.below(text.length / 4)
  })
})
