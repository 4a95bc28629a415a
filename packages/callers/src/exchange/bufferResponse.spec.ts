import { Readable } from 'node:stream'
import { expect } from 'chai'
import type { TargetResponse } from '@lovagehoist/common'
import { bufferResponse } from './bufferResponse.js'

const CHUNK_BYTES = 65_536
const CHUNKS = 10
const LIMIT_BYTES = 4 * CHUNK_BYTES

const createResponse = (chunks: readonly Buffer[]): TargetResponse =>
  ({ type: 'answer', status: 200, headers: [], trailers: () => [], body: Readable.from(chunks, { objectMode: false }), isFreshConnection: true, latencyMs: 0 })

const createChunks = (count: number): readonly Buffer[] => Array.from({ length: count }, (_, index) => Buffer.alloc(CHUNK_BYTES, index + 1))

describe('bufferResponse', () => {
  it('buffers a response that fits', async () => {
    const { buffered, rest } = await bufferResponse(createResponse(createChunks(3)), LIMIT_BYTES)
    expect([buffered.equals(Buffer.concat(createChunks(3))), rest]).to.deep.equal([true, undefined])
  })

  for (const [name, tryReserve] of [['too large', () => true], ['without room', () => false]] as const) {
    it(`keeps nothing of a streamed response beside its stream, where it would live until the caller has read all (${name})`, async () => {
      const { buffered, rest } = await bufferResponse(createResponse(createChunks(CHUNKS)), LIMIT_BYTES, tryReserve)
      expect(buffered.length).to.equal(0)
      const chunks: Buffer[] = []
      await new Promise<void>((resolve, reject) => { rest?.on('data', (chunk: Buffer) => { chunks.push(chunk) }).once('end', resolve).once('error', reject).resume() })
      expect(Buffer.concat(chunks).equals(Buffer.concat(createChunks(CHUNKS)))).to.equal(true)
      expect(Math.max(...chunks.map(({ length }) => length))).to.equal(CHUNK_BYTES)
    })
  }

  it('passes on a response that ends with the chunk that is too much', async () => {
    const { buffered, rest } = await bufferResponse(createResponse(createChunks(1)), LIMIT_BYTES, () => false)
    expect(buffered.length).to.equal(0)
    expect((await rest?.toArray() ?? []).length).to.equal(1)
  })
})
