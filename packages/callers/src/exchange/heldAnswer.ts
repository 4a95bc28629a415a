import type { RawHeaders, TargetResponse } from '@lovagehoist/common'

/** An answer that is ready for the caller. */
export interface ReadyAnswer {
  readonly status: number
  readonly headers: RawHeaders
  /** First part of the body, or all of it. */
  readonly held: Buffer
  /** Rest of the body, which still flows; undefined when the answer is whole. */
  readonly rest: TargetResponse['body'] | undefined
  readonly trailers: () => RawHeaders
}

/**
 * Holds an answer up to a limit, so that a break in the held part is unseen by the caller.
 *
 * @param answer - Answer of a target.
 * @param maxBytes - Bytes to hold; 0 streams at once.
 * @returns The answer; rejects when it breaks while it is held.
 */
export const holdAnswer = async (answer: TargetResponse, maxBytes: number): Promise<ReadyAnswer> => {
  const { status, headers, trailers, body } = answer
  body.on('error', () => {})
  if (maxBytes === 0) return { status, headers, held: Buffer.alloc(0), rest: body, trailers }
  const chunks: Buffer[] = []
  let heldBytes = 0
  return await new Promise((resolve, reject) => {
    const finish = (rest: TargetResponse['body'] | undefined): void => {
      body.off('data', take).off('end', end).off('error', reject).off('close', close)
      resolve({ status, headers, held: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks), rest, trailers })
    }
    const take = (chunk: Buffer): void => {
      chunks.push(chunk)
      heldBytes += chunk.length
      if (heldBytes <= maxBytes) return
      body.pause()
      finish(body)
    }
    const end = (): void => { finish(undefined) }
    const close = (): void => { reject(new Error('the answer was given up')) }
    body.on('error', reject).on('end', end).on('close', close).on('data', take)
  })
}
