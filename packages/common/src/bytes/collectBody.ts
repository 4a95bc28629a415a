import { ChunkCollector } from './chunkCollector.js'

/**
 * Collects a body that arrives in chunks of any size.
 *
 * @param body - Body; it is destroyed when it is too long.
 * @param maxBytes - Longest body.
 * @param onProgress - Called with the arrival of each chunk.
 * @returns The whole body.
 * @throws RangeError when it is longer than `maxBytes`.
 */
export const collectBody = async (body: AsyncIterable<Buffer>, maxBytes: number, onProgress: () => void): Promise<Buffer> => {
  const collector = ChunkCollector.create()
  for await (const chunk of body) {
    onProgress()
    collector.add(chunk)
    if (collector.lengthBytes > maxBytes) throw new RangeError(`body longer than ${maxBytes} bytes`)
  }
  return collector.take()
}
