import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { ChunkCollector } from '@lovagehoist/common'
import type { Clock } from '@lovagehoist/common'
import type { BodyRoom } from '../buffering/bodyRoom.js'

/** Why a request's body could not be read. */
export type BodyError = 'too-large' | 'too-slow' | 'caller-gone' | 'no-room' | 'given-up'

/** Limits for reading a body. */
export interface BodyLimits {
  readonly clock: Clock
  readonly maxBytes: number
  readonly timeoutMs: number
  /** Room that is reserved before the body is read; unlimited when absent. */
  readonly room?: BodyRoom
  /** Aborts when the request can't be served any more, however soon its body arrives. */
  readonly giveUpSignal?: AbortSignal
  /** Called when the body has room and is about to be read. */
  readonly onStart?: () => void
}

/** Bodies of known length above this size are collected in one buffer. */
const MAX_JOINED_BYTES = 65_536
/** Node.js passes on at most this much at once. */
const MAX_CHUNK_BYTES = 65_536
/** A body of unknown length is held twice while its chunks are joined. */
const JOIN_FACTOR = 2
/** First reservation, in arrived bytes: room for two chunks. A caller that sends slowly holds no more than that. */
const FIRST_ARRIVED_BYTES = 2 * MAX_CHUNK_BYTES

const NEVER_GIVEN_UP = new AbortController().signal

/** Collects the chunks of a body. */
class BodyCollector {
  lengthBytes = 0
  private readonly chunks = ChunkCollector.create()
  private whole: Buffer | undefined

  constructor (private readonly statedBytes: number | undefined) {}

  add (chunk: Buffer): void {
    if (this.whole === undefined) this.chunks.add(chunk)
    else chunk.copy(this.whole, this.lengthBytes)
    this.lengthBytes += chunk.length
    this.joinEarly()
  }

  join (): Buffer {
    return this.whole === undefined ? this.chunks.take() : this.whole.subarray(0, this.lengthBytes)
  }

  /** Moves a large body into one buffer when half of it has arrived: earlier, callers that send slowly would hold what they state; later, the body is held twice. */
  private joinEarly (): void {
    const { statedBytes } = this
    if (this.whole !== undefined || statedBytes === undefined || statedBytes <= MAX_JOINED_BYTES || this.lengthBytes * 2 < statedBytes) return
    const whole = Buffer.allocUnsafeSlow(statedBytes)
    this.chunks.takeParts().reduce((atByte, part) => atByte + part.copy(whole, atByte), 0)
    this.whole = whole
  }
}

/** Bytes to hold for a body of which a part has arrived. */
const heldBytesFor = (arrivedBytes: number, statedBytes: number | undefined): number =>
  statedBytes === undefined ? arrivedBytes * JOIN_FACTOR : Math.min(arrivedBytes, statedBytes)

/** Reads a body for whose beginning room has been reserved; reserves more, in doubling steps, before more of it is read. */
const receiveBody = async (request: IncomingMessage, limits: BodyLimits, statedBytes: number | undefined, endAtMs: number): Promise<Result<Buffer, BodyError>> => await new Promise(resolve => {
  const { clock, maxBytes, room, giveUpSignal = NEVER_GIVEN_UP } = limits
  const collector = new BodyCollector(statedBytes)
  let reservedForBytes = FIRST_ARRIVED_BYTES
  let isFinished = false
  const finish = (result: Result<Buffer, BodyError>): void => {
    isFinished = true
    cancelTimer()
    giveUpSignal.removeEventListener('abort', onGiveUp)
    request.off('data', onData).off('end', onEnd).off('close', onClose)
    if (result.isErr()) request.pause()
    else room?.shrinkTo(result.value.length)
    resolve(result)
  }
  const growRoom = async (bytes: number): Promise<void> => {
    request.pause()
    const refusal = await room?.reserve(bytes, statedBytes ?? heldBytesFor(reservedForBytes, statedBytes))
    if (isFinished) return
    if (refusal !== undefined) finish(err('no-room'))
    else request.resume()
  }
  const onData = (chunk: Buffer): void => {
    collector.add(chunk)
    if (collector.lengthBytes > maxBytes) finish(err('too-large'))
    if (isFinished || collector.lengthBytes + MAX_CHUNK_BYTES <= reservedForBytes) return
    const beforeBytes = heldBytesFor(reservedForBytes, statedBytes)
    reservedForBytes *= 2
    const growthBytes = heldBytesFor(reservedForBytes, statedBytes) - beforeBytes
    if (growthBytes > 0) growRoom(growthBytes).catch(() => { finish(err('no-room')) })
  }
  const onEnd = (): void => { finish(ok(collector.join())) }
  const onClose = (): void => { finish(err('caller-gone')) }
  const onGiveUp = (): void => { finish(err('given-up')) }
  const cancelTimer = clock.after(Math.max(0, endAtMs - clock.monotonicMs()), () => { finish(err('too-slow')) })
  request.on('error', () => {}).on('data', onData).on('end', onEnd).on('close', onClose)
  giveUpSignal.addEventListener('abort', onGiveUp, { once: true })
  if (giveUpSignal.aborted) onGiveUp()
})

/** Whether a request has a body, which may be empty. */
export const hasBody = ({ headers }: IncomingMessage): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined

/**
 * Reads a whole request body. Nothing is read before room for it has been reserved.
 *
 * @param request - Request of the caller.
 * @param limits - Limits of size and time.
 * @returns The body; undefined when the request has none.
 */
export const readBody = async (request: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer | undefined, BodyError>> => {
  const { clock, maxBytes, timeoutMs, room, onStart } = limits
  if (!hasBody(request)) return ok(undefined)
  const statedLength = request.headers['content-length']
  const statedBytes = statedLength === undefined ? undefined : Number(statedLength)
  if ((statedBytes ?? 0) > maxBytes) return err('too-large')
  const endAtMs = clock.monotonicMs() + timeoutMs
  if (room !== undefined) {
    const firstBytes = heldBytesFor(FIRST_ARRIVED_BYTES, statedBytes)
    const refusal = await room.reserve(firstBytes, statedBytes ?? firstBytes)
    if (refusal !== undefined) return err('no-room')
    if (request.destroyed) return err('caller-gone')
  }
  onStart?.()
  return await receiveBody(request, limits, statedBytes, endAtMs)
}
