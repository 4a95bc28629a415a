import { Invariants, SeededRandom, createRegistry, silentLog } from '@lovagehoist/common'
import type { DirectoryEntry, InvariantBreach, Member } from '@lovagehoist/common'
import type { ManualClock } from '@lovagehoist/common/fakes'
import { ok } from 'neverthrow'
import { GossipPeerBus } from '../bus/gossipPeerBus.js'
import { FakeLinks } from './fakeTransport.js'

const BUDGET_BYTES_PER_SECOND = 18_000
const ZONES = ['a', 'b', 'c'] as const

/** A running process of a daemon in a fake fleet. */
export interface FakeDaemon {
  readonly bus: GossipPeerBus
  readonly port: number
  readonly stop: AbortController
  readonly done: Promise<void>
}

/** Runs several `GossipPeerBus` instances in one process, on a manual clock and a fake network. */
export class FakeFleet {
  readonly daemons = new Map<string, FakeDaemon>()
  readonly links: FakeLinks
  readonly breaches: InvariantBreach[] = []
  private directoryEntries: readonly DirectoryEntry[] = []
  private nextStart = 1

  constructor (readonly clock: ManualClock, private readonly seed: number) {
    this.links = new FakeLinks(clock)
  }

  /** Starts a process of the daemon with an index; it replaces an earlier process of the same index. */
  async start (index: number): Promise<FakeDaemon> {
    const port = index + 1
    const instanceId = `daemon-${index}`
    const startId = `start-${this.nextStart++}`
    const place = { region: index % 2 === 0 ? 'north' : 'south', availabilityZone: ZONES[index % ZONES.length] ?? 'a' }
    const registry = createRegistry({})
    const invariants = Invariants.create({ clock: this.clock, log: silentLog, registry, onBreach: breach => { this.breaches.push(breach) } })
    const bus = GossipPeerBus.create({
      self: { instanceId, startId, ...place },
      host: '10.0.0.1',
      environment: 'production',
      budgetBytesPerSecond: BUDGET_BYTES_PER_SECOND,
      codec: 'msgpack',
      clock: this.clock,
      random: SeededRandom.create(this.seed * 1_000 + this.nextStart),
      log: silentLog,
      registry,
      invariants,
      directory: { list: async () => ok(this.directoryEntries) },
      transport: this.links.open(port)
    })
    await bus.listen()
    this.addToDirectory({ id: instanceId, role: 'daemon', service: '', host: '10.0.0.1', port, state: 'live', startedAtMs: 0, slots: 0, ...place })
    const stop = new AbortController()
    const daemon = { bus, port, stop, done: bus.run(stop.signal) }
    this.daemons.set(instanceId, daemon)
    return daemon
  }

  /** Stops a process abruptly: nothing that it sends any more arrives. */
  kill (instanceId: string): void {
    const daemon = this.daemons.get(instanceId)
    if (daemon === undefined) return
    this.links.listeners.delete(daemon.port)
    for (const to of this.ports()) this.links.cutDirections.add(`${daemon.port}>${to}`)
    daemon.stop.abort()
    this.daemons.delete(instanceId)
  }

  /** Restores outgoing links of a port that `kill` cut, so that a new process on it is reachable. */
  reconnect (port: number): void {
    for (const to of this.ports()) this.links.cutDirections.delete(`${port}>${to}`)
  }

  addToDirectory (entry: DirectoryEntry): void {
    this.directoryEntries = [...this.directoryEntries.filter(({ id }) => id !== entry.id), entry]
  }

  removeFromDirectory (instanceId: string): void {
    this.directoryEntries = this.directoryEntries.filter(({ id }) => id !== instanceId)
  }

  /** Status of one daemon as seen by another. */
  statusAt (viewer: string, instanceId: string): Member['status'] | undefined {
    return this.daemons.get(viewer)?.bus.members().find(member => member.instanceId === instanceId)?.status
  }

  /** Stops all processes and waits until they have left. */
  async close (): Promise<void> {
    for (const { stop } of this.daemons.values()) stop.abort()
    await this.clock.advanceMs(3_000)
    await Promise.all([...this.daemons.values()].map(async ({ done }) => { await done }))
  }

  private ports (): readonly number[] {
    return this.directoryEntries.map(({ port }) => port)
  }
}
