import { withTimeout } from '@lovagehoist/common'
import type { Clock } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Packet } from '../wire/codec.js'
import type { PacketListener, PeerTransport } from '../transport/peerTransport.js'

/** Links between fake transports; a test changes them at any time. */
export class FakeLinks {
  /** Directions that lose everything, as `FROM>TO` with ports. */
  readonly cut = new Set<string>()
  /** Ports of paused processes: they neither answer nor send. */
  readonly paused = new Set<number>()
  /** One-way delay in milliseconds. */
  delayMs = 1
  /** Packets that arrived, newest last, to be replayed. */
  readonly seen: Array<{ readonly port: number, readonly packet: Packet }> = []
  readonly listeners = new Map<number, PacketListener>()

  constructor (readonly clock: Clock) {}

  /** Makes the transport of the daemon at a port; a second one on the same port replaces the first. */
  open (port: number): PeerTransport {
    return {
      listen: async listener => {
        this.listeners.set(port, listener)
        return port
      },
      close: async () => { this.listeners.delete(port) },
      send: async (address, packet, timeoutMs) => {
        const timed = await withTimeout(this.clock, timeoutMs, this.carry(port, address.port, packet))
        return timed.type === 'timeout' || timed.value === undefined ? err('lost') : ok(timed.value)
      }
    }
  }

  private async carry (from: number, to: number, packet: Packet): Promise<Packet | undefined> {
    await this.clock.sleepMs(this.delayMs)
    const listener = this.listeners.get(to)
    if (listener === undefined || this.loses(from, to)) return await new Promise(() => {})
    this.seen.push({ port: to, packet })
    const answer = await listener(packet)
    await this.clock.sleepMs(this.delayMs)
    return this.loses(to, from) ? await new Promise(() => {}) : answer
  }

  private loses (from: number, to: number): boolean {
    return this.cut.has(`${from}>${to}`) || this.paused.has(from) || this.paused.has(to)
  }
}
