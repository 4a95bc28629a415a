import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { waitUntilListening } from '@lovagehoist/common'
import type { Clock } from '@lovagehoist/common'

/** Fault of the link from one source address to the listener behind the proxy. */
export interface LinkFault {
  /** Drops all data while set; connections stay open. */
  readonly isCut: boolean
  /** Silences for good each connection that carries data while set, as after a loss that is never retransmitted. */
  readonly isSilent: boolean
  /** The same, only for data from the listener back to the source. */
  readonly isResponseSilent: boolean
  /** Delay added to each chunk of data. */
  readonly delayMs: number
}

/** Address of the listener behind a proxy. */
export interface ProxyDestination {
  readonly host: string
  readonly port: number
}

const NO_FAULT: LinkFault = { isCut: false, isSilent: false, isResponseSilent: false, delayMs: 0 }

/** Forwards TCP connections to a listener and injects link faults by source address. */
export class TcpProxy {
  private readonly faults = new Map<string, LinkFault>()
  private readonly sockets = new Set<Socket>()
  private destination: ProxyDestination | undefined
  private droppedByteCount = 0

  private constructor (private readonly server: Server, private readonly clock: Clock) {
    server.on('connection', socket => { this.forward(socket) })
  }

  /**
   * Starts a proxy that closes connections until its destination is set.
   *
   * @param clock - Source of time.
   * @param host - Loopback address to listen on.
   * @returns The proxy, once it listens.
   */
  static async create (clock: Clock, host: string): Promise<TcpProxy> {
    const server = createServer({ allowHalfOpen: false })
    const proxy = new TcpProxy(server, clock)
    await waitUntilListening(server, onListening => { server.listen(0, host, onListening) })
    return proxy
  }

  /** Sets the listener that new connections are forwarded to. */
  setDestination (destination: ProxyDestination): void {
    this.destination = destination
  }

  /** Port that the proxy listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Number of bytes that faults have dropped. */
  get droppedBytes (): number {
    return this.droppedByteCount
  }

  /** Replaces the fault of the link from a source address; fields left out mean no fault. */
  setFault (sourceHost: string, fault: Partial<LinkFault>): void {
    this.faults.set(sourceHost, { ...NO_FAULT, ...fault })
  }

  /** Resets all open connections; new ones are not affected. */
  resetConnections (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Stops the proxy and closes its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      for (const socket of this.sockets) socket.destroy()
    })
  }

  private forward (inbound: Socket): void {
    const source = inbound.remoteAddress ?? ''
    if (this.destination === undefined) {
      inbound.destroy()
      return
    }
    const outbound = connect(this.destination.port, this.destination.host)
    this.copyData(inbound, outbound, ({ isSilent }) => isSilent, source)
    this.copyData(outbound, inbound, ({ isSilent, isResponseSilent }) => isSilent || isResponseSilent, source)
    this.propagateClose(inbound, outbound)
    this.propagateClose(outbound, inbound)
  }

  /** Closes the other side the way this side closed: a reset stays a reset. */
  private propagateClose (socket: Socket, other: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => { other.resetAndDestroy() })
    socket.on('close', () => {
      this.sockets.delete(socket)
      other.destroy()
    })
  }

  private copyData (from: Socket, to: Socket, isBlackholed: (fault: LinkFault) => boolean, source: string): void {
    let isSilent = false
    let pendingChunks = 0
    let lastWrite = Promise.resolve()
    from.on('data', chunk => {
      const fault = this.faults.get(source) ?? NO_FAULT
      isSilent ||= isBlackholed(fault)
      if (fault.isCut || isSilent) {
        this.droppedByteCount += chunk.length
        return
      }
      if (fault.delayMs === 0 && pendingChunks === 0) {
        to.write(chunk)
        return
      }
      // Delayed chunks are written first, also after the delay was removed.
      pendingChunks++
      const delay = this.clock.sleepMs(fault.delayMs)
      lastWrite = lastWrite.then(async () => {
        await delay
        pendingChunks--
        to.write(chunk)
      })
    })
  }
}
