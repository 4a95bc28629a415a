import type { StandinHost } from '../process/standinHost.js'

/** Section `peers` of a daemon's settings when a relay is in front of its peer listener. */
export interface RelayedPeers {
  /** The daemon's own address; relays identify the sender of a message by it. */
  readonly host: string
  readonly port: number
  readonly advertised: { readonly host: string, readonly port: number }
}

const RELAY_HOST = '127.0.0.1'

/** Loopback address of a daemon, different for each index. */
const loopbackAddressOf = (index: number): string => `127.0.1.${index + 1}`

/** Relays in front of the peer listeners of daemons, which can cut a link between two daemons in one direction. */
export class FleetRelays {
  private readonly addresses = new Map<string, string>()

  private constructor (private readonly relayHost: StandinHost) {}

  /**
   * Creates an empty set of relays.
   *
   * @param relayHost - Process that runs the relays.
   */
  static create (relayHost: StandinHost): FleetRelays {
    return new FleetRelays(relayHost)
  }

  /** Starts the relay of a daemon and returns the settings with which other daemons reach it through the relay. */
  async peerSettings (id: string, index: number): Promise<RelayedPeers> {
    const address = loopbackAddressOf(index)
    this.addresses.set(id, address)
    return { host: address, port: 0, advertised: { host: RELAY_HOST, port: await this.relayHost.startRelay(id, RELAY_HOST) } }
  }

  /** Connects the relay of a daemon to the port that the daemon listens on. */
  async connect (id: string, index: number, port: number): Promise<void> {
    await this.relayHost.connectRelay(id, loopbackAddressOf(index), port)
  }

  /** Cuts or restores the traffic from one daemon to another. */
  async setLink (fromId: string, toId: string, isCut: boolean): Promise<void> {
    await this.relayHost.setRelay(toId, this.addresses.get(fromId) ?? '', { isCut })
  }
}
