import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import type { Address, Log } from '@lovagehoist/common'

/** Sends and receives datagrams between daemons. */
export interface Datagrams {
  /** Sends once; a datagram may be lost. */
  readonly send: (host: string, bytes: Buffer) => void
  /** Sets what takes the datagrams that arrive. */
  readonly onDatagram: (listener: (bytes: Uint8Array, host: string) => void) => void
  readonly close: () => void
}

/**
 * Opens a UDP socket; all daemons use the same port.
 *
 * @param address - Address of this daemon.
 * @param log - Where failures go.
 * @returns The socket, once it is bound.
 */
export const openDatagrams = async (address: Address, log: Log): Promise<Datagrams> => {
  const socket: Socket = createSocket('udp4')
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(address.port, address.host, () => {
      socket.off('error', reject)
      resolve()
    })
  })
  socket.on('error', error => { log.warn('datagram socket failed', { error: error.message }) })
  return {
    send: (host, bytes) => {
      // An unreachable host is noticed by its silence.
      socket.send(bytes, address.port, host, () => {})
    },
    onDatagram: listener => { socket.on('message', (bytes, { address: host }) => { listener(bytes, host) }) },
    close: () => { socket.close() }
  }
}
