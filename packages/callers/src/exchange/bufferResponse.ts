import { ChunkCollector } from '@lovagehoist/common'
import type { RawHeaders, TargetResponse } from '@lovagehoist/common'

/** Response of a target, buffered completely or up to a limit. */
export interface BufferedResponse {
  readonly status: number
  readonly headers: RawHeaders
  /** The whole body, or nothing when the body is streamed. */
  readonly buffered: Buffer
  /** Stream of the body; undefined when the whole body is buffered. */
  readonly rest: TargetResponse['body'] | undefined
  readonly trailers: () => RawHeaders
}

/**
 * Buffers a response up to a limit, so that a failure within the buffered part never reaches the caller.
 *
 * @param response - Response of a target.
 * @param maxBytes - Bytes to buffer; 0 streams from the beginning.
 * @param tryReserve - Reserves memory for bytes to buffer; when it fails, the response is streamed.
 * @returns The buffered response; rejects when the body fails while it is being buffered.
 */
export const bufferResponse = async (response: TargetResponse, maxBytes: number, tryReserve: (bytes: number) => boolean = () => true): Promise<BufferedResponse> => {
  const { status, headers, trailers, body } = response
  body.on('error', () => {})
  if (maxBytes === 0) return { status, headers, buffered: Buffer.alloc(0), rest: body, trailers }
  const collector = ChunkCollector.create()
  return await new Promise((resolve, reject) => {
    const finish = (rest: TargetResponse['body'] | undefined): void => {
      body.off('data', onData).off('end', onEnd).off('error', reject).off('close', onClose)
      // Back in the stream, each part of the beginning is freed as soon as the caller has read it; a buffer of its own would live as long as the response.
      if (rest !== undefined) for (const part of collector.takeParts().toReversed()) rest.unshift(part)
      resolve({ status, headers, buffered: collector.take(), rest, trailers })
    }
    const onData = (chunk: Buffer): void => {
      collector.add(chunk)
      if (tryReserve(chunk.length) && collector.lengthBytes <= maxBytes) return
      body.pause()
      finish(body)
    }
    const onEnd = (): void => { finish(undefined) }
    const onClose = (): void => { reject(new Error('the response body was closed before its end')) }
    body.on('error', reject).on('end', onEnd).on('close', onClose).on('data', onData)
  })
}
