import type { StandinHost } from '../process/standinHost.js'

/** Peers' part of a daemon's settings when a relay stands before it. */
export interface RelayedPeers {
  /** Address of the daemon's own, by which relays recognise what it sends. */
  readonly host: string
  readonly port: number
  readonly advertised: { readonly host: string, readonly port: number }
}

const RELAY_HOST = '127.0.0.1'

/** Loopback address of the n-th daemon. */
const hostOf = (index: number): string => `127.0.1.${index + 1}`

/** A relay before the peers' listener of each daemon, so that links can be cut in one direction. */
export class FleetRelays {
  private readonly hosts = new Map<string, string>()

  private constructor (private readonly standin: StandinHost) {}

  /**
   * Creates a set without relays.
   *
   * @param standin - Process that the relays run in.
   * @returns The set.
   */
  static create (standin: StandinHost): FleetRelays {
    return new FleetRelays(standin)
  }

  /** Starts the relay of a daemon and gives the settings that lead others through it. */
  async peerSettings (id: string, index: number): Promise<RelayedPeers> {
    const host = hostOf(index)
    this.hosts.set(id, host)
    return { host, port: 0, advertised: { host: RELAY_HOST, port: await this.standin.startRelay(id, RELAY_HOST) } }
  }

  /** Connects the relay of a daemon with the port that the daemon listens on. */
  async connect (id: string, index: number, port: number): Promise<void> {
    await this.standin.connectRelay(id, hostOf(index), port)
  }

  /** Cuts or mends the direction from one daemon to another. */
  async setLink (fromId: string, toId: string, isCut: boolean): Promise<void> {
    await this.standin.setRelay(toId, this.hosts.get(fromId) ?? '', { isCut })
  }
}
