import type { ServerResponse } from 'node:http'
import type { BufferHold } from './bufferHold.js'

/**
 * Closes the hold of a request once its response has been passed to the operating system or can't be any more.
 *
 * @param response - Response to the caller, finished or not.
 * @param hold - Hold of the request, which nothing else uses any more.
 */
export const closeHoldAfter = (response: ServerResponse, hold: BufferHold): void => {
  const { socket } = response.req
  if (response.closed || response.writableFinished || response.destroyed || socket.destroyed) {
    hold.close()
    return
  }
  // Node.js does not close the responses that wait behind another one when their connection ends.
  const finish = (): void => {
    response.off('close', finish)
    socket.off('close', finish)
    hold.close()
  }
  response.once('close', finish)
  socket.once('close', finish)
}
