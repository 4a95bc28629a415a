import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CancelTimer, Clock } from '@lovagehoist/common'

/** Connection whose caller has ended its half. */
export interface HalfClosedConnection {
  readonly socket: Socket
  readonly clock: Clock
  /** Response that is due first; undefined when none is due. */
  readonly current: () => ServerResponse | undefined
}

/** Answers that are ready before need no probe. */
const FIRST_DELAY_MS = 100
const MAX_DELAY_MS = 1_000
/** Probes, 400 ms in all, in which an answer that had begun before must show that the caller reads; a process that was held up has made fewer by then. */
const DECISION_PROBES = 3
/** A reset that answers the first write is reported by the second. */
const DECIDING_WRITES = 2

const allowsInterim = ({ req }: ServerResponse): boolean => req.httpVersionMajor === 1 && req.httpVersionMinor >= 1

/**
 * Finds out whether a caller that has ended its half of a connection still reads. One that has closed all of it answers the first bytes
 * with a reset, which only the write after them reports: the socket then closes.
 */
export class HalfClosedProbe {
  /** Response that had begun before the caller's end: it can't be followed by an interim response, and it may pause for long. */
  private readonly begun: ServerResponse | undefined
  private writtenBytes: number
  private probes = 0
  /** Probes that found more written than the one before. */
  private writes = 0
  private cancelTimer: CancelTimer = () => {}

  private constructor (private readonly connection: HalfClosedConnection) {
    const { socket, current } = connection
    const first = current()
    this.begun = first?.headersSent === true ? first : undefined
    this.writtenBytes = socket.bytesWritten
    socket.once('close', () => { this.cancelTimer() })
  }

  /**
   * Starts to probe, until the connection closes or no response is due.
   *
   * @param connection - Connection whose caller has just ended its half.
   */
  static start (connection: HalfClosedConnection): void {
    new HalfClosedProbe(connection).startTimer()
  }

  /** The time since the start doubles with each probe, up to the limit of the delay. */
  private startTimer (): void {
    const delayMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.max(0, this.probes - 1))
    this.cancelTimer = this.connection.clock.after(delayMs, () => { this.probe() })
  }

  private probe (): void {
    const { socket, current } = this.connection
    const response = current()
    if (response === undefined) return
    if (!response.headersSent && allowsInterim(response)) response.writeContinue()
    this.countWrites()
    this.probes++
    if (response === this.begun && !response.writableEnded && this.probes >= DECISION_PROBES && this.writes < DECIDING_WRITES) {
      // An orderly end could make the answer look complete.
      socket.resetAndDestroy()
      return
    }
    this.startTimer()
  }

  /** Bytes that wait in the process count too: a caller that had closed would have reset the connection for those before them. */
  private countWrites (): void {
    const { socket } = this.connection
    if (socket.bytesWritten !== this.writtenBytes || socket.writableLength > 0) this.writes++
    this.writtenBytes = socket.bytesWritten
  }
}
