import type { Result } from 'neverthrow'
import type { Packet } from '../wire/codec.js'

/** Where a daemon listens for peers. */
export interface PeerAddress {
  readonly host: string
  readonly port: number
}

/** Answers a packet; undefined when it is refused without an answer. */
export type PacketListener = (packet: Packet) => Promise<Packet | undefined>

/** Carries packets between daemons. */
export interface PeerTransport {
  /**
   * Sends a packet and waits for its answer.
   *
   * @param address - Receiver.
   * @param packet - Bytes with their content type.
   * @param timeoutMs - Longest wait for the answer, in milliseconds.
   * @returns The answer, or why there is none.
   */
  readonly send: (address: PeerAddress, packet: Packet, timeoutMs: number) => Promise<Result<Packet, string>>
  /**
   * Starts to listen.
   *
   * @param listener - Answers each packet.
   * @returns The port.
   */
  readonly listen: (listener: PacketListener) => Promise<number>
  /** Stops listening and cuts all connections. */
  readonly close: () => Promise<void>
}
