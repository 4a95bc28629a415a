import type { Result } from 'neverthrow'
import type { Packet } from '../wire/codec.js'

/** Address that a daemon listens on for other daemons. */
export interface PeerAddress {
  readonly host: string
  readonly port: number
}

/** Answers a packet; resolves to undefined if it is refused without an answer. */
export type PacketListener = (packet: Packet) => Promise<Packet | undefined>

/** Sends and receives packets between daemons. */
export interface PeerTransport {
  /**
   * Sends a packet and waits for its answer.
   *
   * @param address - Address of the receiver.
   * @param packet - Packet to send.
   * @param timeoutMs - Maximum wait for the answer, in milliseconds.
   * @returns The answer, or the reason for the failure.
   */
  readonly send: (address: PeerAddress, packet: Packet, timeoutMs: number) => Promise<Result<Packet, string>>
  /**
   * Starts listening.
   *
   * @param listener - Answers each received packet.
   * @returns The port listened on.
   */
  readonly listen: (listener: PacketListener) => Promise<number>
  /** Stops listening and closes all connections. */
  readonly close: () => Promise<void>
}
