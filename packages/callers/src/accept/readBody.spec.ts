import type { IncomingMessage } from 'node:http'
import { PassThrough } from 'node:stream'
import { setImmediate as turn } from 'node:timers/promises'
import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { readBody } from './readBody.js'

const CHUNK_BYTES = 65_536
const CHUNKS = 256
const BODY_BYTES = CHUNKS * CHUNK_BYTES
/** Chunks that share their memory, so that only what the reader allocates is seen. */
const CHUNK = Buffer.alloc(CHUNK_BYTES, 'x')

describe('readBody', () => {
  it('moves the first half of a large body into its buffer without one more copy of it', async () => {
    const stream = new PassThrough({ highWaterMark: BODY_BYTES })
    const request = Object.assign(stream, { headers: { 'content-length': String(BODY_BYTES) } }) as unknown as IncomingMessage
    const { arrayBuffers: beforeBytes } = process.memoryUsage()
    const reading = readBody(request, { clock: ManualClock.create(), maxBytes: BODY_BYTES, timeoutMs: 10_000 })
    let peakBytes = 0
    for (let sent = 0; sent < CHUNKS; sent++) {
      stream.write(CHUNK)
      await turn()
      peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - beforeBytes)
    }
    stream.end()
    const body = (await reading)._unsafeUnwrap()
    expect(body?.equals(Buffer.alloc(BODY_BYTES, 'x'))).to.equal(true)
    expect(peakBytes).to.be.below(BODY_BYTES * 1.25)
  })
})
