import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { Clock } from '@lovagehoist/common'

/** Fault of the link from one source address to the relayed listener. */
export interface LinkFault {
  /** Nothing passes from the source to the listener; connections stay open and silent. */
  readonly isCut: boolean
  /** Time added to each piece of data. */
  readonly delayMs: number
}

/** Listener behind a relay. */
export interface RelayDestination {
  readonly host: string
  readonly port: number
}

const NO_FAULT: LinkFault = { isCut: false, delayMs: 0 }

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
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, host, () => { resolve() })
    })
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
    this.copy(inbound, outbound, source)
    this.copy(outbound, inbound, source)
    for (const socket of [inbound, outbound]) {
      this.sockets.add(socket)
      socket.on('error', () => { socket.destroy() })
      socket.on('close', () => {
        this.sockets.delete(socket)
        inbound.destroy()
        outbound.destroy()
      })
    }
  }

  private copy (from: Socket, to: Socket, source: string): void {
    from.on('data', chunk => {
      const fault = this.faults.get(source) ?? NO_FAULT
      if (fault.isCut) {
        this.dropped += chunk.length
        return
      }
      if (fault.delayMs === 0) to.write(chunk)
      else this.clock.after(fault.delayMs, () => { to.write(chunk) })
    })
  }
}
