/** Chunks shorter than this are copied into a block: an object for each of them would take many times its bytes. */
const MIN_CHUNK_BYTES = 4_096
const BLOCK_BYTES = 16_384

/** Collects chunks of any size; the memory that it takes is proportional to their bytes, not to their number. */
export class ChunkCollector {
  private parts: Buffer[] = []
  private block: Buffer | undefined
  private blockBytes = 0
  private collectedBytes = 0

  private constructor () {}

  /** Creates an empty collector. */
  static create (): ChunkCollector {
    return new ChunkCollector()
  }

  /** Bytes collected. */
  get lengthBytes (): number {
    return this.collectedBytes
  }

  /** Adds a chunk, which must not change afterwards. */
  add (chunk: Buffer): void {
    this.collectedBytes += chunk.length
    if (chunk.length >= MIN_CHUNK_BYTES) {
      this.closeBlock()
      this.parts.push(chunk)
      return
    }
    if (this.block !== undefined && this.blockBytes + chunk.length > this.block.length) this.closeBlock()
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this.blockBytes += chunk.copy(this.block, this.blockBytes)
  }

  /** Removes and returns all bytes, in one buffer. */
  take (): Buffer {
    const [only] = this.parts
    // Joining copies the rest, so that a few bytes do not keep a block.
    const rest = this.block?.subarray(0, this.blockBytes)
    const bytes = only !== undefined && this.parts.length === 1 && this.blockBytes === 0 ? only : Buffer.concat(rest === undefined ? this.parts : [...this.parts, rest])
    this.parts = []
    this.blockBytes = 0
    this.collectedBytes = 0
    return bytes
  }

  private closeBlock (): void {
    if (this.block === undefined) return
    if (this.blockBytes > 0) this.parts.push(this.block.subarray(0, this.blockBytes))
    this.block = undefined
    this.blockBytes = 0
  }
}
