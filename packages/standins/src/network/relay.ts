import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { waitUntilListening } from '@lovagehoist/common'
import type { Clock } from '@lovagehoist/common'

/** Fault of the link from one source address to the relayed listener. */
export interface LinkFault {
  /** Nothing passes; connections stay open and silent. */
  readonly isCut: boolean
  /** Connections that carry data fall silent for good, as after a loss that nobody repairs. */
  readonly isSilent: boolean
  /** The same, for what the listener answers. */
  readonly isAnswerSilent: boolean
  /** Time added to each piece of data. */
  readonly delayMs: number
}

/** Listener behind a relay. */
export interface RelayDestination {
  readonly host: string
  readonly port: number
}

const NO_FAULT: LinkFault = { isCut: false, isSilent: false, isAnswerSilent: false, delayMs: 0 }

/** Passes TCP connections on to a listener, and cuts or delays what comes from chosen source addresses. */
export class Relay {
  private readonly faults = new Map<string, LinkFault>()
  private readonly sockets = new Set<Socket>()
  private destination: RelayDestination | undefined
  private dropped = 0

  private constructor (private readonly server: Server, private readonly clock: Clock) {
    server.on('connection', socket => { this.pass(socket) })
  }

  /**
   * Starts a relay that refuses connections until it is told where they go.
   *
   * @param clock - Source of time.
   * @param host - Loopback address to listen on.
   * @returns The relay, once it listens.
   */
  static async create (clock: Clock, host: string): Promise<Relay> {
    const server = createServer({ allowHalfOpen: false })
    const relay = new Relay(server, clock)
    await waitUntilListening(server, onListening => { server.listen(0, host, onListening) })
    return relay
  }

  /** Names the listener that connections are passed on to. */
  connectTo (destination: RelayDestination): void {
    this.destination = destination
  }

  /** Port that the relay listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Bytes that cut links have swallowed. */
  get droppedBytes (): number {
    return this.dropped
  }

  /** Sets the fault of the link from a source address. */
  set (sourceHost: string, fault: Partial<LinkFault>): void {
    this.faults.set(sourceHost, { ...NO_FAULT, ...fault })
  }

  /** Resets all open connections; new ones work. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Stops the relay and cuts its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      for (const socket of this.sockets) socket.destroy()
    })
  }

  private pass (inbound: Socket): void {
    const source = inbound.remoteAddress ?? ''
    if (this.destination === undefined) {
      inbound.destroy()
      return
    }
    const outbound = connect(this.destination.port, this.destination.host)
    this.copy(inbound, outbound, ({ isSilent }) => isSilent, source)
    this.copy(outbound, inbound, ({ isSilent, isAnswerSilent }) => isSilent || isAnswerSilent, source)
    this.pair(inbound, outbound)
    this.pair(outbound, inbound)
  }

  /** Ends the other side as one side ended: a reset stays a reset. */
  private pair (socket: Socket, other: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => { other.resetAndDestroy() })
    socket.on('close', () => {
      this.sockets.delete(socket)
      other.destroy()
    })
  }

  private copy (from: Socket, to: Socket, isSilencing: (fault: LinkFault) => boolean, source: string): void {
    let isSilent = false
    let waiting = 0
    let tail = Promise.resolve()
    from.on('data', chunk => {
      const fault = this.faults.get(source) ?? NO_FAULT
      isSilent ||= isSilencing(fault)
      if (fault.isCut || isSilent) {
        this.dropped += chunk.length
        return
      }
      if (fault.delayMs === 0 && waiting === 0) {
        to.write(chunk)
        return
      }
      // What was delayed before goes first, also after the delay has ended.
      waiting++
      const arrival = this.clock.sleepMs(fault.delayMs)
      tail = tail.then(async () => {
        await arrival
        waiting--
        to.write(chunk)
      })
    })
  }
}
