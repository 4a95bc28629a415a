import { withTimeout } from '@lovagehoist/common'
import type { Clock } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Packet } from '../wire/codec.js'
import type { PacketListener, PeerTransport } from '../transport/peerTransport.js'

/** Network of fake transports whose faults a test can change at any time. */
export class FakeLinks {
  /** Link directions that lose all packets, as `FROM>TO` with ports. */
  readonly cutDirections = new Set<string>()
  /** Ports of paused processes: all packets from and to them are lost. */
  readonly pausedPorts = new Set<number>()
  /** One-way delay in milliseconds. */
  delayMs = 1
  /** Delivered requests in order, so that tests can replay them. */
  readonly deliveredPackets: Array<{ readonly port: number, readonly packet: Packet }> = []
  readonly listeners = new Map<number, PacketListener>()

  constructor (readonly clock: Clock) {}

  /** Creates the transport of the daemon at a port; the latest to listen on a port receives its packets. */
  open (port: number): PeerTransport {
    return {
      listen: async listener => {
        this.listeners.set(port, listener)
        return port
      },
      close: async () => { this.listeners.delete(port) },
      send: async (address, packet, timeoutMs) => {
        const timed = await withTimeout(this.clock, timeoutMs, this.deliver(port, address.port, packet))
        return timed.type === 'timeout' || timed.value === undefined ? err('lost') : ok(timed.value)
      }
    }
  }

  private async deliver (from: number, to: number, packet: Packet): Promise<Packet | undefined> {
    await this.clock.sleepMs(this.delayMs)
    const listener = this.listeners.get(to)
    if (listener === undefined || this.isLost(from, to)) return await new Promise(() => {})
    this.deliveredPackets.push({ port: to, packet })
    const answer = await listener(packet)
    await this.clock.sleepMs(this.delayMs)
    return this.isLost(to, from) ? await new Promise(() => {}) : answer
  }

  private isLost (from: number, to: number): boolean {
    return this.cutDirections.has(`${from}>${to}`) || this.pausedPorts.has(from) || this.pausedPorts.has(to)
  }
}
