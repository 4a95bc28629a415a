import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '@lovagehoist/common'
import type { BodyRoom } from '../buffering/bodyRoom.js'

/** Why a request's body could not be read. */
export type BodyError = 'too-large' | 'too-slow' | 'caller-gone' | 'no-room'

/** Limits for reading a body. */
export interface BodyLimits {
  readonly clock: Clock
  readonly maxBytes: number
  readonly timeoutMs: number
  /** Room that is reserved before the body is read; unlimited when absent. */
  readonly room?: BodyRoom
  /** Called when the body has room and is about to be read. */
  readonly onStart?: () => void
}

/** Bodies of known length above this size are collected in one buffer, so that they are never held twice. */
const MAX_JOINED_BYTES = 65_536
/** Node.js passes on at most this much at once. */
const MAX_CHUNK_BYTES = 65_536
/** A body of unknown length is held twice while its chunks are joined. */
const JOIN_FACTOR = 2
/** First reservation for a body of unknown length: room for two chunks. */
const FIRST_RESERVED_BYTES = 2 * JOIN_FACTOR * MAX_CHUNK_BYTES

/** Collects the chunks of a body. */
class BodyCollector {
  lengthBytes = 0
  private readonly chunks: Buffer[] = []
  private readonly whole: Buffer | undefined

  constructor (statedBytes: number | undefined) {
    // Memory of an untouched large buffer is not resident until its bytes arrive.
    this.whole = statedBytes === undefined || statedBytes <= MAX_JOINED_BYTES ? undefined : Buffer.allocUnsafeSlow(statedBytes)
  }

  add (chunk: Buffer): void {
    if (this.whole === undefined) this.chunks.push(chunk)
    else chunk.copy(this.whole, this.lengthBytes)
    this.lengthBytes += chunk.length
  }

  join (): Buffer {
    if (this.whole !== undefined) return this.whole.subarray(0, this.lengthBytes)
    return this.chunks.length === 1 && this.chunks[0] !== undefined ? this.chunks[0] : Buffer.concat(this.chunks)
  }
}

/** Reads a body for which room has been reserved; reserves more for one of unknown length as its chunks arrive. */
const receiveBody = async (request: IncomingMessage, limits: BodyLimits, statedBytes: number | undefined, endAtMs: number): Promise<Result<Buffer, BodyError>> => await new Promise(resolve => {
  const { clock, maxBytes, room } = limits
  const collector = new BodyCollector(statedBytes)
  let reservedBytes = statedBytes ?? FIRST_RESERVED_BYTES
  let isFinished = false
  const finish = (result: Result<Buffer, BodyError>): void => {
    isFinished = true
    cancelTimer()
    request.off('data', onData).off('end', onEnd).off('close', onClose)
    if (result.isErr()) request.pause()
    else room?.shrinkTo(result.value.length)
    resolve(result)
  }
  const growRoom = async (bytes: number): Promise<void> => {
    request.pause()
    const refusal = await room?.reserve(bytes)
    if (isFinished) return
    if (refusal !== undefined) finish(err('no-room'))
    else request.resume()
  }
  const onData = (chunk: Buffer): void => {
    collector.add(chunk)
    if (collector.lengthBytes > maxBytes) {
      finish(err('too-large'))
      return
    }
    if (statedBytes !== undefined || (collector.lengthBytes + MAX_CHUNK_BYTES) * JOIN_FACTOR <= reservedBytes) return
    const growthBytes = reservedBytes
    reservedBytes += growthBytes
    growRoom(growthBytes).catch(() => { finish(err('no-room')) })
  }
  const onEnd = (): void => { finish(ok(collector.join())) }
  const onClose = (): void => { finish(err('caller-gone')) }
  const cancelTimer = clock.after(Math.max(0, endAtMs - clock.monotonicMs()), () => { finish(err('too-slow')) })
  request.on('error', () => {}).on('data', onData).on('end', onEnd).on('close', onClose)
})

/**
 * Reads a whole request body. Nothing is read before room for it has been reserved.
 *
 * @param request - Request of the caller.
 * @param limits - Limits of size and time.
 * @returns The body; undefined when the request has none.
 */
export const readBody = async (request: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer | undefined, BodyError>> => {
  const { clock, maxBytes, timeoutMs, room, onStart } = limits
  const statedLength = request.headers['content-length']
  if (statedLength === undefined && request.headers['transfer-encoding'] === undefined) return ok(undefined)
  const statedBytes = statedLength === undefined ? undefined : Number(statedLength)
  if ((statedBytes ?? 0) > maxBytes) return err('too-large')
  const endAtMs = clock.monotonicMs() + timeoutMs
  if (room !== undefined) {
    const refusal = await room.reserve(statedBytes ?? FIRST_RESERVED_BYTES)
    if (refusal !== undefined) return err('no-room')
    if (request.destroyed) return err('caller-gone')
  }
  onStart?.()
  return await receiveBody(request, limits, statedBytes, endAtMs)
}
