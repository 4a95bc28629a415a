import type { Clock } from '@lovagehoist/common'
import type { BufferRefusal } from './bufferBudget.js'
import type { BufferHold } from './bufferHold.js'

/** Room for the body of one request. */
export interface BodyRoom {
  /** Reserves more bytes of a body, after a wait if necessary; resolves to the reason if they don't fit in time. */
  readonly reserve: (bytes: number, bodyBytes: number) => Promise<BufferRefusal | undefined>
  /** Releases what the body does not need of its reservation. */
  readonly shrinkTo: (bytes: number) => void
}

/** Dependencies of the room for a body. */
export interface BodyRoomOptions {
  readonly clock: Clock
  readonly hold: BufferHold
  /** Priority of the route; 0 is the highest. */
  readonly priority: number
  /** Longest time that the body waits, unread, for each reservation. */
  readonly maxWaitMs: number
}

/**
 * Creates the room for a body.
 *
 * @param options - Hold of the request, its priority and the longest wait.
 * @returns The room, of which nothing is reserved.
 */
export const createBodyRoom = ({ clock, hold, priority, maxWaitMs }: BodyRoomOptions): BodyRoom => ({
  reserve: async (bytes, bodyBytes) => await new Promise(resolve => {
    let isSettled = false
    let cancelTimer = (): void => {}
    const settle = (refusal: BufferRefusal | undefined): void => {
      isSettled = true
      cancelTimer()
      resolve(refusal)
    }
    const withdraw = hold.claimBody({ bytes, bodyBytes, priority, settle })
    if (isSettled) return
    cancelTimer = clock.after(maxWaitMs, () => {
      withdraw()
      settle('no-room')
    })
  }),
  shrinkTo: bytes => { hold.shrinkBody(bytes) }
})
