import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '@lovagehoist/common'

/** Why a request's body could not be read. */
export type BodyError = 'too-large' | 'too-slow' | 'caller-gone'

/** Limits for reading a body. */
export interface BodyLimits {
  readonly clock: Clock
  readonly maxBytes: number
  readonly timeoutMs: number
}

const concatenate = (chunks: readonly Buffer[]): Buffer => chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)

/**
 * Reads a whole request body.
 *
 * @param request - Request of the caller.
 * @param limits - Limits of size and time.
 * @returns The body; undefined when the request has none.
 */
export const readBody = async (request: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer | undefined, BodyError>> => {
  const { clock, maxBytes, timeoutMs } = limits
  const statedLength = request.headers['content-length']
  if (statedLength === undefined && request.headers['transfer-encoding'] === undefined) return ok(undefined)
  if (Number(statedLength ?? 0) > maxBytes) return err('too-large')
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let lengthBytes = 0
    const finish = (result: Result<Buffer, BodyError>): void => {
      cancelTimer()
      request.off('data', onData).off('end', onEnd).off('close', onClose)
      if (result.isErr()) request.pause()
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      lengthBytes += chunk.length
      chunks.push(chunk)
      if (lengthBytes > maxBytes) finish(err('too-large'))
    }
    const onEnd = (): void => { finish(ok(concatenate(chunks))) }
    const onClose = (): void => { finish(err('caller-gone')) }
    const cancelTimer = clock.after(timeoutMs, () => { finish(err('too-slow')) })
    request.on('error', () => {}).on('data', onData).on('end', onEnd).on('close', onClose)
  })
}
