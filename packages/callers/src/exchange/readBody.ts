import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** Why a request's body could not be read. */
export type BodyError = 'too-large' | 'caller-gone'

/**
 * Reads a whole request body.
 *
 * @param request - Request of the caller.
 * @param maxBytes - Longest body.
 * @returns The body; undefined when the request has none.
 */
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Result<Buffer | undefined, BodyError>> => {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  if (!hasBody) return ok(undefined)
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return err('too-large')
  const chunks: Buffer[] = []
  let lengthBytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      lengthBytes += chunk.length
      if (lengthBytes > maxBytes) return err('too-large')
      chunks.push(chunk)
    }
  } catch {
    return err('caller-gone')
  }
  return ok(Buffer.concat(chunks))
}
