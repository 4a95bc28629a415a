import type { EventEmitter } from 'node:events'

/**
 * Waits until a server listens.
 *
 * @param server - Server that may fail to listen.
 * @param listen - Begins to listen and calls back.
 */
export const waitUntilListening = async (server: EventEmitter, listen: (onListening: () => void) => void): Promise<void> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    listen(resolve)
  })
}
