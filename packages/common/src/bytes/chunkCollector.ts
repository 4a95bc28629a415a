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
    // A body of one chunk is the usual case and is not copied, however short.
    const isKept = chunk.length >= MIN_CHUNK_BYTES || this.collectedBytes === 0
    this.collectedBytes += chunk.length
    if (isKept || this.blockBytes + chunk.length > BLOCK_BYTES) this.endBlock()
    if (isKept) {
      this.parts.push(chunk)
      return
    }
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this.blockBytes += chunk.copy(this.block, this.blockBytes)
  }

  /** Removes and returns all bytes, in one buffer. */
  take (): Buffer {
    const parts = this.takeParts()
    const [first] = parts
    return first !== undefined && parts.length === 1 ? first : Buffer.concat(parts)
  }

  /** Removes and returns all bytes in order, in buffers of which each can be freed by itself. */
  takeParts (): readonly Buffer[] {
    this.endBlock()
    const parts = this.parts
    this.parts = []
    this.collectedBytes = 0
    return parts
  }

  /** Keeps what the block holds in a buffer of its size, and the block for further chunks. */
  private endBlock (): void {
    if (this.block === undefined || this.blockBytes === 0) return
    this.parts.push(Buffer.from(this.block.subarray(0, this.blockBytes)))
    this.blockBytes = 0
  }
}
