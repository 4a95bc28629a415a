import { Socket, connect } from 'node:net'
import type { NetConnectOpts, TcpNetConnectOpts } from 'node:net'
import type { Clock } from '@lovagehoist/common'
import { TcpProxy } from '../network/tcpProxy.js'

/** How a daemon's links to targets are cut: open connections hang, are reset, or live on; new ones hang, or are refused. */
export type LinkCut = 'silent' | 'reset' | 'refused'

const HOST = '127.0.0.1'
/** No process of the tests listens here. */
const CLOSED_PORT = 1

/** Links of one daemon to all targets, which can be cut together. */
export class DaemonLinks {
  private cutKind: LinkCut | undefined

  private constructor (private readonly proxies: ReadonlyMap<number, TcpProxy>, private readonly localAddress: string) {}

  /**
   * Creates intact links.
   *
   * @param clock - Source of time.
   * @param ports - Ports of the targets.
   * @param localAddress - Loopback address that the daemon's connections come from.
   * @returns The links; targets that are added later are reached without them.
   */
  static async create (clock: Clock, ports: readonly number[], localAddress: string): Promise<DaemonLinks> {
    const proxies = await Promise.all(ports.map(async port => {
      const proxy = await TcpProxy.create(clock, HOST)
      proxy.setDestination({ host: HOST, port })
      return [port, proxy] as const
    }))
    return new DaemonLinks(new Map(proxies), localAddress)
  }

  /** Opens a socket of the daemon to a target. */
  readonly openSocket = (options: NetConnectOpts): Socket => {
    const { port } = options as TcpNetConnectOpts
    // A socket that is never connected behaves like one whose packets are all lost.
    if (this.cutKind === 'silent') return new Socket()
    return connect({ ...options, localAddress: this.localAddress, port: this.cutKind === undefined ? this.proxies.get(port)?.port ?? port : CLOSED_PORT })
  }

  /** Cuts all links. */
  cut (kind: LinkCut): void {
    this.cutKind = kind
    for (const proxy of this.proxies.values()) {
      if (kind === 'silent') proxy.setFault(HOST, { isSilent: true })
      if (kind === 'reset') proxy.resetConnections()
    }
  }

  /** Restores all links. */
  restore (): void {
    this.cutKind = undefined
    for (const proxy of this.proxies.values()) proxy.setFault(HOST, {})
  }

  /** Closes all links. */
  async close (): Promise<void> {
    await Promise.all([...this.proxies.values()].map(async proxy => { await proxy.close() }))
  }
}
