import type { ServerResponse } from 'node:http'
import type { CancelTimer, Clock, TargetResponse } from '@lovagehoist/common'
import type { BufferHold } from '../buffering/bufferHold.js'
import type { Delivery } from './deliver.js'

/** Limits of the delivery of a response. */
export interface ResponsePacing {
  readonly clock: Clock
  /** Counts what the caller has not read yet. */
  readonly hold: BufferHold
  /** Called when the caller is disconnected because it reads nothing. */
  readonly onStalled: () => void
}

/** Progress of the caller becomes visible after this much has been read. */
const SLICE_BYTES = 65_536
/** A caller that reads less than a slice within this time is disconnected; callers' timeouts are 3 to 15 s. */
const STALL_TIMEOUT_MS = 10_000
/** Bytes of one response that may be read from its target ahead of the caller. */
const MAX_READ_AHEAD_BYTES = 4_194_304

/** What a write takes beside its bytes until the caller has read it: small ones would else cost many times what is counted. */
const WRITE_OVERHEAD_BYTES = 512

/** Writes the body of one response at the pace of its caller and disconnects a caller that reads nothing. */
export class PacedWriter {
  private pendingBytes = 0
  private lastProgressAtMs: number
  private cancelTimer: CancelTimer = () => {}
  private isClosed = false
  /** Bytes of the stream that are held already. */
  private aheadBytes = 0
  /** Called whenever something has been read, and when the connection has closed. */
  private onProgress: () => void = () => {}

  private constructor (private readonly response: ServerResponse, private readonly pacing: ResponsePacing) {
    this.lastProgressAtMs = pacing.clock.monotonicMs()
  }

  /**
   * Creates a writer.
   *
   * @param response - Response to the caller, whose head has been written.
   * @param pacing - Limits of the delivery.
   * @returns The writer.
   */
  static create (response: ServerResponse, pacing: ResponsePacing): PacedWriter {
    return new PacedWriter(response, pacing)
  }

  /**
   * Writes a whole body and ends the response.
   *
   * @param body - Whole body, whose bytes are held already.
   * @returns Whether all of it was passed to the connection.
   */
  async end (body: Buffer): Promise<Delivery> {
    this.watch()
    const lastSliceAt = Math.max(0, Math.ceil(body.length / SLICE_BYTES) - 1) * SLICE_BYTES
    if (!await this.writeSlices(body.subarray(0, lastSliceAt))) return 'caller-gone'
    this.pendingBytes += body.length - lastSliceAt
    this.response.end(body.subarray(lastSliceAt))
    return 'answer'
  }

  /**
   * Writes the beginning of a body and then its rest as it arrives, without ending the response.
   *
   * @param buffered - Beginning of the body, whose bytes are held already.
   * @param rest - Stream of the rest, which is read ahead of the caller as far as the budget allows.
   * @returns Whether all of it was passed to the connection; `broken` when the stream failed.
   */
  async stream (buffered: Buffer, rest: TargetResponse['body']): Promise<Delivery> {
    this.watch()
    // Attached first: the stream may fail while the beginning is written.
    const received = this.pump(rest)
    rest.pause()
    const isWritten = await this.writeSlices(buffered)
    this.pacing.hold.releaseResponse(buffered.length)
    this.aheadBytes = this.pacing.hold.heldFor('response')
    if (isWritten) rest.resume()
    const delivery = isWritten ? await received : 'caller-gone'
    if (delivery !== 'answer') rest.destroy()
    return this.isClosed && delivery === 'answer' ? 'caller-gone' : delivery
  }

  private async pump (rest: TargetResponse['body']): Promise<Delivery> {
    const { hold } = this.pacing
    const hasRoom = (): boolean => this.pendingBytes < SLICE_BYTES || (this.pendingBytes < MAX_READ_AHEAD_BYTES && hold.hasReadAheadRoom)
    // The rest of a response that ends with the last buffered chunk may have ended already.
    if (rest.readableEnded) return 'answer'
    if (rest.destroyed) return 'broken'
    return await new Promise(resolve => {
      this.onProgress = () => {
        if (this.isClosed) resolve('caller-gone')
        else if (rest.isPaused() && hasRoom()) rest.resume()
      }
      rest.on('data', (chunk: Buffer) => {
        const heldBytes = chunk.length + WRITE_OVERHEAD_BYTES
        const aheadBytes = Math.min(this.aheadBytes, heldBytes)
        this.aheadBytes -= aheadBytes
        hold.addResponse(heldBytes - aheadBytes)
        this.write(chunk, () => { hold.releaseResponse(heldBytes) })
        if (!hasRoom()) rest.pause()
      })
      rest.once('end', () => { resolve('answer') }).once('error', () => { resolve('broken') }).once('close', () => { resolve(rest.readableEnded ? 'answer' : 'broken') })
    })
  }

  /** Writes in slices, so that the caller's progress is visible; the memory of all of them is free only after the last one. */
  private async writeSlices (bytes: Buffer): Promise<boolean> {
    const onProgress = this.onProgress
    for (let at = 0; at < bytes.length && !this.isClosed; at += SLICE_BYTES) {
      await new Promise<void>(resolve => {
        this.onProgress = resolve
        this.write(bytes.subarray(at, at + SLICE_BYTES))
      })
    }
    this.onProgress = onProgress
    return !this.isClosed
  }

  private write (bytes: Buffer, onWritten: () => void = () => {}): void {
    const pendingBytes = bytes.length + WRITE_OVERHEAD_BYTES
    this.pendingBytes += pendingBytes
    this.response.write(bytes, () => {
      this.pendingBytes -= pendingBytes
      onWritten()
      this.lastProgressAtMs = this.pacing.clock.monotonicMs()
      this.onProgress()
    })
  }

  private watch (): void {
    const { response } = this
    const { socket } = response.req
    const close = (): void => {
      response.off('close', close)
      socket.off('close', close)
      this.cancelTimer()
      this.isClosed = true
      this.onProgress()
    }
    this.isClosed = response.destroyed || socket.destroyed
    if (this.isClosed) return
    response.once('close', close)
    socket.once('close', close)
    this.startTimer(STALL_TIMEOUT_MS)
  }

  private startTimer (durationMs: number): void {
    this.cancelTimer = this.pacing.clock.after(durationMs, () => { this.checkProgress() })
  }

  private checkProgress (): void {
    const { response, pacing } = this
    const nowMs = pacing.clock.monotonicMs()
    // A response behind another one on its connection is not written yet, and nothing pending means that the target is slow.
    if (response.socket === null || this.pendingBytes === 0) this.lastProgressAtMs = nowMs
    const leftMs = this.lastProgressAtMs + STALL_TIMEOUT_MS - nowMs
    if (leftMs > 0) {
      this.startTimer(leftMs)
      return
    }
    pacing.onStalled()
    response.req.socket.resetAndDestroy()
  }
}
