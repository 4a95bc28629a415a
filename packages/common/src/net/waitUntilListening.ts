import type { EventEmitter } from 'node:events'

/**
 * Waits until a server is listening; rejects when it fails to.
 *
 * @param server - Server, which emits `error` when it fails to listen.
 * @param listen - Starts listening and calls back once it does.
 */
export const waitUntilListening = async (server: EventEmitter, listen: (onListening: () => void) => void): Promise<void> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    listen(resolve)
  })
}
