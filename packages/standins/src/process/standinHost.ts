import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { JSONRPCClient } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import type { DirectoryEntry } from '@lovagehoist/common'
import type { LinkFault } from '../network/tcpProxy.js'
import type { PlatformCounts } from '../platform/platformStandin.js'
import type { PlatformFaults } from '../platform/platformFaults.js'
import type { TargetBehaviour } from '../target/behaviour.js'
import type { JournalEntry } from '../target/journal.js'

/** Counters of a target stand-in. */
export interface TargetCounts {
  readonly runs: number
  readonly shed: number
  readonly connections: number
  /** Wall-clock time of the last request received, in milliseconds since the Unix epoch; 0 for none. */
  readonly lastRequestAtMs: number
}

/** A child process that hosts stand-ins, controlled by JSON-RPC over its IPC channel. */
export class StandinHost {
  private constructor (private readonly child: ChildProcess, private readonly client: JSONRPCClient) {}

  /**
   * Starts a host process without stand-ins.
   *
   * @param seed - Seed of its random numbers.
   * @returns The host.
   */
  static create (seed: number): StandinHost {
    const child = fork(fileURLToPath(new URL('hostMain.js', import.meta.url)), [String(seed)])
    const client = new JSONRPCClient(request => { child.send(request) })
    child.on('message', message => { client.receive(message as JSONRPCResponse) })
    child.once('exit', () => { client.rejectAllPendingRequests('the stand-in host exited') })
    return new StandinHost(child, client)
  }

  async startPlatform (): Promise<string> {
    return await this.client.request('startPlatform', {})
  }

  async register (entry: DirectoryEntry): Promise<void> {
    await this.client.request('register', { entry })
  }

  /** Adds many entries to the platform's directory in one update. */
  async registerAll (entries: readonly DirectoryEntry[]): Promise<void> {
    await this.client.request('registerAll', { entries })
  }

  /** Starts scripted peers and returns their directory entries. */
  async startPeers (count: number, environment: string): Promise<readonly DirectoryEntry[]> {
    return await this.client.request('startPeers', { count, environment })
  }

  /** Makes the scripted peers send gossip messages to a real daemon. */
  async sendPeerTraffic (id: string, port: number): Promise<void> {
    await this.client.request('sendPeerTraffic', { id, port })
  }

  async remove (id: string): Promise<void> {
    await this.client.request('remove', { id })
  }

  async setPlatform (faults: Partial<PlatformFaults>): Promise<void> {
    await this.client.request('setPlatform', { faults })
  }

  async platformCounts (): Promise<PlatformCounts> {
    return await this.client.request('platformCounts', {})
  }

  async startTarget (id: string, behaviour: Partial<TargetBehaviour>): Promise<number> {
    return await this.client.request('startTarget', { id, behaviour })
  }

  async setTarget (id: string, behaviour: Partial<TargetBehaviour>): Promise<void> {
    await this.client.request('setTarget', { id, behaviour })
  }

  async stopTarget (id: string): Promise<void> {
    await this.client.request('stopTarget', { id })
  }

  async journal (id: string): Promise<readonly JournalEntry[]> {
    return await this.client.request('journal', { id })
  }

  async targetCounts (id: string): Promise<TargetCounts> {
    return await this.client.request('targetCounts', { id })
  }

  /** Starts a TCP proxy, without a destination, and returns its port. */
  async startProxy (id: string, host: string): Promise<number> {
    return await this.client.request('startProxy', { id, host })
  }

  /** Sets the listener that a proxy forwards to. */
  async connectProxy (id: string, host: string, port: number): Promise<void> {
    await this.client.request('connectProxy', { id, host, port })
  }

  async setProxyFault (id: string, sourceHost: string, fault: Partial<LinkFault>): Promise<void> {
    await this.client.request('setProxyFault', { id, sourceHost, fault })
  }

  /** Closes the IPC channel, on which the process exits. */
  stop (): void {
    this.child.disconnect()
  }
}
