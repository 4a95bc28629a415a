import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock, sha256Hex } from '@lovagehoist/common'
import type { Clock, DirectoryEntry, JsonValue } from '@lovagehoist/common'
import { createPlatform } from '@lovagehoist/store'
import { promote, storeDocument } from '@lovagehoist/operators'
import { request } from 'undici'
import { FleetRelays } from './fleetRelays.js'
import { DaemonProcess } from '../process/daemonProcess.js'
import { StandinHost } from '../process/standinHost.js'
import type { TargetBehaviour } from '../target/behaviour.js'
import type { JournalEntry } from '../target/journal.js'

/** Name of the environment that measured fleets hold. */
export const ENVIRONMENT = 'production'

/** Fields of a daemon's settings that a scenario may change. */
export interface DaemonOverrides {
  readonly mechanisms?: Readonly<Record<string, JsonValue>>
  readonly drain?: Readonly<Record<string, JsonValue>>
}

/** A target of a measured fleet. */
export interface FleetTarget {
  readonly entry: DirectoryEntry
  readonly host: StandinHost
}

const ZONES = ['a', 'b', 'c'] as const
const STARTED_AT_ONCE = 8
const READY_POLL_MS = 50
const READY_LIMIT_MS = 30_000
const HOST = '127.0.0.1'

/** Availability zone of the n-th instance. */
export const zoneOf = (index: number): string => ZONES[index % ZONES.length] ?? 'a'

/** Real daemons before stand-ins, as processes on this machine. */
export class Fleet {
  readonly clock: Clock = SystemClock.create()
  readonly targets: FleetTarget[] = []
  readonly daemons: DaemonProcess[] = []

  private daemonCount = 0
  private relayHost: StandinHost | undefined
  private relays: FleetRelays | undefined

  private constructor (readonly platformHost: StandinHost, readonly platformUrl: string, private readonly folder: string, private readonly hosts: StandinHost[]) {}

  /**
   * Starts a platform and processes for targets.
   *
   * @param seed - Seed of the stand-ins.
   * @param targetHosts - Processes that targets are spread over.
   * @returns The fleet, without targets and daemons.
   */
  static async create (seed: number, targetHosts = 2): Promise<Fleet> {
    const platformHost = StandinHost.create(seed)
    const hosts = Array.from({ length: targetHosts }, (_, index) => StandinHost.create(seed + index + 1))
    const folder = await mkdtemp(join(tmpdir(), 'lovagehoist-'))
    return new Fleet(platformHost, await platformHost.startPlatform(), folder, hosts)
  }

  /** Addresses of the platform, as settings name them. */
  get platformUrls (): { readonly tableUrl: string, readonly objectsUrl: string, readonly directoryUrl: string } {
    const url = this.platformUrl
    return { tableUrl: `${url}/table`, objectsUrl: `${url}/objects`, directoryUrl: `${url}/directory` }
  }

  /** Starts a target and lists it. */
  async addTarget (service: string, behaviour: Partial<TargetBehaviour> & { readonly slots: number }): Promise<FleetTarget> {
    const index = this.targets.length
    const host = this.hosts[index % this.hosts.length]
    if (host === undefined) throw new Error('the fleet has no process for targets')
    const id = `${service}-${index}`
    const port = await host.startTarget(id, behaviour)
    const entry: DirectoryEntry = {
      id, role: 'target', service, host: HOST, port, state: 'live', startedAtMs: 0, slots: behaviour.slots, region: 'local', availabilityZone: zoneOf(index)
    }
    await this.platformHost.register(entry)
    const target = { entry, host }
    this.targets.push(target)
    return target
  }

  /** Stores a document and makes it the accepted one. */
  async promote (document: JsonValue): Promise<string> {
    const platform = createPlatform(this.platformUrls, this.clock)
    try {
      const bytes = Buffer.from(JSON.stringify(document))
      const stored = await storeDocument(platform, 'document.jsonc', bytes)
      if (stored.isErr()) throw new Error(stored.error.message)
      const operationId = sha256Hex(`${stored.value}${this.clock.monotonicMs()}`)
      const won = await promote({ platform, clock: this.clock }, { environment: ENVIRONMENT, digest: stored.value, operationId, promotedBy: 'measure' })
      if (won.isErr()) throw new Error(won.error.message)
      return stored.value
    } finally {
      await platform.close()
    }
  }

  /** Starts a daemon, lists it and waits until it is ready. */
  async addDaemon (overrides: DaemonOverrides = {}): Promise<DaemonProcess> {
    const index = this.daemonCount++
    const id = `daemon-${index}`
    const peers = await this.relays?.peerSettings(id, index)
    const daemon = await DaemonProcess.create(this.folder, {
      instance: { id, region: 'local', availabilityZone: zoneOf(index) },
      environment: ENVIRONMENT,
      callers: { host: HOST, port: 0 },
      admin: { host: HOST, port: 0 },
      peers: peers ?? { host: HOST, port: 0 },
      platform: this.platformUrls,
      ...overrides
    } as { readonly instance: { readonly id: string } })
    this.daemons.push(daemon)
    const ports = await daemon.ports
    await this.relays?.connect(id, index, ports.peers)
    const port = peers?.advertised.port ?? ports.peers
    await this.platformHost.register({
      id, role: 'daemon', service: '', host: HOST, port, state: 'live', startedAtMs: this.clock.wallMs(), slots: 0, region: 'local', availabilityZone: zoneOf(index)
    })
    await this.waitReady(ports.admin)
    return daemon
  }

  /** Cuts or mends the direction from one daemon to another; needs a fleet with relays. */
  async setLink (fromId: string, toId: string, isCut: boolean): Promise<void> {
    await this.relays?.setLink(fromId, toId, isCut)
  }

  /** Puts a relay before the peers' listener of every daemon that is started from now on. */
  useRelays (): void {
    this.relayHost ??= StandinHost.create(0)
    this.relays = FleetRelays.create(this.relayHost)
  }

  /** Starts daemons, several at a time. */
  async addDaemons (count: number, overrides: DaemonOverrides = {}): Promise<void> {
    for (let started = 0; started < count; started += STARTED_AT_ONCE) {
      const batch = Math.min(STARTED_AT_ONCE, count - started)
      await Promise.all(Array.from({ length: batch }, async () => await this.addDaemon(overrides)))
    }
  }

  /** Lists a target in another state. */
  async listTarget ({ entry }: FleetTarget, state: DirectoryEntry['state']): Promise<void> {
    await this.platformHost.register({ ...entry, state })
  }

  /** Addresses that callers reach the daemons at. */
  async callerUrls (): Promise<readonly string[]> {
    return await Promise.all(this.daemons.map(async daemon => `http://${HOST}:${(await daemon.ports).callers}`))
  }

  /** Everything that the targets began to run. */
  async journal (): Promise<readonly JournalEntry[]> {
    return (await Promise.all(this.targets.map(async ({ host, entry }) => await host.journal(entry.id)))).flat()
  }

  /** State dump of a daemon. */
  async dump (daemon: DaemonProcess): Promise<Readonly<Record<string, JsonValue>>> {
    const reply = await request(`http://${HOST}:${(await daemon.ports).admin}/dump`)
    return await reply.body.json() as Readonly<Record<string, JsonValue>>
  }

  /** Ends every process that the fleet started. */
  async close (): Promise<void> {
    for (const daemon of this.daemons) daemon.signal('SIGKILL')
    await Promise.all(this.daemons.map(async daemon => await daemon.exited))
    for (const host of [this.platformHost, this.relayHost, ...this.hosts]) host?.stop()
    await rm(this.folder, { recursive: true, force: true })
  }

  private async waitReady (adminPort: number): Promise<void> {
    const limitMs = this.clock.monotonicMs() + READY_LIMIT_MS
    while (this.clock.monotonicMs() < limitMs) {
      const reply = await request(`http://${HOST}:${adminPort}/ready`).catch(() => undefined)
      await reply?.body.dump()
      if (reply?.statusCode === 200) return
      await this.clock.sleepMs(READY_POLL_MS)
    }
    throw new Error('a daemon did not become ready')
  }
}
