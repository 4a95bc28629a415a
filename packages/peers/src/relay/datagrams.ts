import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import type { Address, Log } from '@lovagehoist/common'

/** Sends and receives UDP datagrams between daemons. */
export interface Datagrams {
  /** Sends a datagram without a delivery guarantee; errors are ignored. */
  readonly send: (host: string, bytes: Buffer) => void
  /** Registers the listener for received datagrams. */
  readonly onDatagram: (listener: (bytes: Uint8Array, host: string) => void) => void
  readonly close: () => void
}

/**
 * Opens a UDP socket; all daemons listen on the same port.
 *
 * @param address - Address to bind to; its port is also the destination port.
 * @param log - Receives socket errors after the bind.
 * @returns The socket once it is bound; rejects if the bind fails.
 */
export const openDatagrams = async (address: Address, log: Log): Promise<Datagrams> => {
  const socket: Socket = createSocket('udp4')
  await new Promise<void>((resolve, reject) => {
    const fail = (error: Error): void => {
      socket.close()
      reject(error)
    }
    socket.once('error', fail)
    socket.bind(address.port, address.host, () => {
      socket.off('error', fail)
      resolve()
    })
  })
  socket.on('error', error => { log.warn('datagram socket failed', { error: error.message }) })
  return {
    send: (host, bytes) => {
      // Send errors are ignored: an unreachable peer is detected by its missing answers.
      socket.send(bytes, address.port, host, () => {})
    },
    onDatagram: listener => { socket.on('message', (bytes, { address: host }) => { listener(bytes, host) }) },
    close: () => { socket.close() }
  }
}
