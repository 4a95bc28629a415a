import type { StandinHost } from '../process/standinHost.js'

/** Section `peers` of a daemon's settings when a TCP proxy is in front of its peer listener. */
export interface ProxiedPeerSettings {
  /** The daemon's own address; proxies identify the sender of a connection by it. */
  readonly host: string
  readonly port: number
  readonly advertised: { readonly host: string, readonly port: number }
}

const PROXY_HOST = '127.0.0.1'

/** Loopback address of a daemon, different for each index. */
const loopbackAddressOf = (index: number): string => `127.0.1.${index + 1}`

/** TCP proxies in front of the peer listeners of daemons, which can cut a link between two daemons in one direction. */
export class PeerProxies {
  private readonly addresses = new Map<string, string>()

  private constructor (private readonly proxyHost: StandinHost) {}

  /**
   * Creates an empty set of proxies.
   *
   * @param proxyHost - Process that runs the proxies.
   */
  static create (proxyHost: StandinHost): PeerProxies {
    return new PeerProxies(proxyHost)
  }

  /** Starts the proxy of a daemon and returns the settings with which other daemons reach it through the proxy. */
  async peerSettings (id: string, index: number): Promise<ProxiedPeerSettings> {
    const address = loopbackAddressOf(index)
    this.addresses.set(id, address)
    return { host: address, port: 0, advertised: { host: PROXY_HOST, port: await this.proxyHost.startProxy(id, PROXY_HOST) } }
  }

  /** Connects the proxy of a daemon to the port that the daemon listens on. */
  async connect (id: string, index: number, port: number): Promise<void> {
    await this.proxyHost.connectProxy(id, loopbackAddressOf(index), port)
  }

  /** Cuts or restores the traffic from one daemon to another. */
  async setLink (fromId: string, toId: string, isCut: boolean): Promise<void> {
    await this.proxyHost.setProxyFault(toId, this.addresses.get(fromId) ?? '', { isCut })
  }
}
