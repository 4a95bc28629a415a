import { expect } from 'chai'
import fc from 'fast-check'
import { ChunkCollector } from './chunkCollector.js'

const SEED = 7
const MANY = 300_000
/** An object for each byte would take some 100 bytes. */
const MAX_BYTES_PER_CHUNK = 8

describe('ChunkCollector', () => {
  it('returns what was added, in order, whatever the sizes', () => {
    fc.assert(fc.property(fc.array(fc.array(fc.constantFrom(0, 1, 2, 100, 4_095, 4_096, 20_000))), rounds => {
      const collector = ChunkCollector.create()
      for (const sizes of rounds) {
        const chunks = sizes.map((size, index) => Buffer.alloc(size, index % 251))
        for (const chunk of chunks) collector.add(chunk)
        expect(collector.lengthBytes).to.equal(sizes.reduce<number>((sum, size) => sum + size, 0))
        expect(collector.take().equals(Buffer.concat(chunks))).to.equal(true)
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('does not copy a body of one chunk', () => {
    const collector = ChunkCollector.create()
    for (const size of [1, 10_000]) {
      const chunk = Buffer.alloc(size)
      collector.add(chunk)
      expect(collector.take()).to.equal(chunk)
    }
  })

  it('takes memory by bytes, not by chunks', () => {
    const collector = ChunkCollector.create()
    const source = Buffer.alloc(1, 'x')
    const before = process.memoryUsage()
    for (let index = 0; index < MANY; index++) collector.add(source.subarray(0, 1))
    const after = process.memoryUsage()
    const heldBytes = collector.take().length
    expect(heldBytes).to.equal(MANY)
    // Chunks that are garbage by now may not have been collected yet; those held would add to this.
    expect(after.arrayBuffers - before.arrayBuffers).to.be.below(MANY * MAX_BYTES_PER_CHUNK)
  })
})
