import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock, sha256Hex } from '@lovagehoist/common'
import type { Clock, DirectoryEntry, JsonValue } from '@lovagehoist/common'
import { createPlatform } from '@lovagehoist/store'
import { promote, storeDocument } from '@lovagehoist/operators'
import { request } from 'undici'
import { PeerProxies } from './peerProxies.js'
import { DaemonProcess } from '../process/daemonProcess.js'
import { StandinHost } from '../process/standinHost.js'
import type { TargetBehaviour } from '../target/behaviour.js'
import type { JournalEntry } from '../target/journal.js'

/** Environment that the daemons of a measured fleet belong to. */
export const ENVIRONMENT = 'production'

/** Sections of a daemon's settings that a scenario may set. */
export interface DaemonOverrides {
  readonly mechanisms?: Readonly<Record<string, JsonValue>>
  readonly drain?: Readonly<Record<string, JsonValue>>
}

/** Target of a measured fleet, with the process that hosts its stand-in. */
export interface FleetTarget {
  readonly entry: DirectoryEntry
  readonly host: StandinHost
}

const ZONES = ['a', 'b', 'c'] as const
const START_BATCH = 8
const READY_POLL_MS = 50
const READY_TIMEOUT_MS = 30_000
const HOST = '127.0.0.1'

/** Availability zone of an instance; instances are spread over the zones in turn. */
export const zoneOf = (index: number): string => ZONES[index % ZONES.length] ?? 'a'

/** Fleet on this machine: real daemons as processes of their own, with stand-ins of the targets and the platform. */
export class Fleet {
  readonly clock: Clock = SystemClock.create()
  readonly targets: FleetTarget[] = []
  readonly daemons: DaemonProcess[] = []

  private daemonCount = 0
  private proxyHost: StandinHost | undefined
  private peerProxies: PeerProxies | undefined

  private constructor (readonly platformHost: StandinHost, readonly platformUrl: string, private readonly folder: string, private readonly targetHosts: StandinHost[]) {}

  /**
   * Starts a stand-in of the platform and the processes that host the stand-ins of targets.
   *
   * @param seed - Seed of the stand-ins.
   * @param targetHostCount - Number of processes that host targets.
   * @returns A fleet without targets and daemons.
   */
  static async create (seed: number, targetHostCount = 2): Promise<Fleet> {
    const platformHost = StandinHost.create(seed)
    const targetHosts = Array.from({ length: targetHostCount }, (_, index) => StandinHost.create(seed + index + 1))
    const folder = await mkdtemp(join(tmpdir(), 'lovagehoist-'))
    return new Fleet(platformHost, await platformHost.startPlatform(), folder, targetHosts)
  }

  /** URLs of the platform, in the form of the `platform` settings. */
  get platformUrls (): { readonly tableUrl: string, readonly objectsUrl: string, readonly directoryUrl: string } {
    const url = this.platformUrl
    return { tableUrl: `${url}/table`, objectsUrl: `${url}/objects`, directoryUrl: `${url}/directory` }
  }

  /** Starts a target and registers it in the directory. */
  async addTarget (service: string, behaviour: Partial<TargetBehaviour> & { readonly slots: number }): Promise<FleetTarget> {
    const index = this.targets.length
    const host = this.targetHosts[index % this.targetHosts.length]
    if (host === undefined) throw new Error('cannot add a target: the fleet was created without target processes')
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

  /** Stores a document, promotes it and returns its digest. */
  async promote (document: JsonValue): Promise<string> {
    const platform = createPlatform(this.platformUrls, this.clock)
    try {
      const bytes = Buffer.from(JSON.stringify(document))
      const stored = await storeDocument(platform, 'document.jsonc', bytes)
      if (stored.isErr()) throw new Error(stored.error.message)
      const operationId = sha256Hex(`${stored.value}${this.clock.monotonicMs()}`)
      const promoted = await promote({ platform, clock: this.clock }, { environment: ENVIRONMENT, digest: stored.value, operationId, promotedBy: 'measure' })
      if (promoted.isErr()) throw new Error(promoted.error.message)
      return stored.value
    } finally {
      await platform.close()
    }
  }

  /** Starts a daemon, registers it in the directory and waits until it is ready. */
  async addDaemon (overrides: DaemonOverrides = {}): Promise<DaemonProcess> {
    const index = this.daemonCount++
    const id = `daemon-${index}`
    const peers = await this.peerProxies?.peerSettings(id, index)
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
    await this.peerProxies?.connect(id, index, ports.peers)
    const port = peers?.advertised.port ?? ports.peers
    await this.platformHost.register({
      id, role: 'daemon', service: '', host: HOST, port, state: 'live', startedAtMs: this.clock.wallMs(), slots: 0, region: 'local', availabilityZone: zoneOf(index)
    })
    await this.waitUntilReady(ports.admin)
    return daemon
  }

  /** Cuts or restores the traffic from one daemon to another; does nothing unless {@link usePeerProxies} was called before. */
  async setLink (fromId: string, toId: string, isCut: boolean): Promise<void> {
    await this.peerProxies?.setLink(fromId, toId, isCut)
  }

  /** Puts a TCP proxy in front of the peer listener of every daemon that is started from now on. */
  usePeerProxies (): void {
    this.proxyHost ??= StandinHost.create(0)
    this.peerProxies = PeerProxies.create(this.proxyHost)
  }

  /** Starts daemons in batches. */
  async addDaemons (count: number, overrides: DaemonOverrides = {}): Promise<void> {
    for (let started = 0; started < count; started += START_BATCH) {
      const batch = Math.min(START_BATCH, count - started)
      await Promise.all(Array.from({ length: batch }, async () => await this.addDaemon(overrides)))
    }
  }

  /** Changes the state of a target in the directory. */
  async setTargetState ({ entry }: FleetTarget, state: DirectoryEntry['state']): Promise<void> {
    await this.platformHost.register({ ...entry, state })
  }

  /** Base URLs of the daemons' listeners for callers. */
  async callerUrls (): Promise<readonly string[]> {
    return await Promise.all(this.daemons.map(async daemon => `http://${HOST}:${(await daemon.ports).callers}`))
  }

  /** Requests that the targets started to run. */
  async journal (): Promise<readonly JournalEntry[]> {
    return (await Promise.all(this.targets.map(async ({ host, entry }) => await host.journal(entry.id)))).flat()
  }

  /** Reads a daemon's state from its admin endpoint `/dump`. */
  async dump (daemon: DaemonProcess): Promise<Readonly<Record<string, JsonValue>>> {
    const response = await request(`http://${HOST}:${(await daemon.ports).admin}/dump`)
    return await response.body.json() as Readonly<Record<string, JsonValue>>
  }

  /** Stops every process of the fleet and removes its folder. */
  async close (): Promise<void> {
    for (const daemon of this.daemons) daemon.signal('SIGKILL')
    await Promise.all(this.daemons.map(async daemon => await daemon.exited))
    for (const host of [this.platformHost, this.proxyHost, ...this.targetHosts]) host?.stop()
    await rm(this.folder, { recursive: true, force: true })
  }

  private async waitUntilReady (adminPort: number): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + READY_TIMEOUT_MS
    while (this.clock.monotonicMs() < deadlineMs) {
      const response = await request(`http://${HOST}:${adminPort}/ready`).catch(() => undefined)
      await response?.body.dump()
      if (response?.statusCode === 200) return
      await this.clock.sleepMs(READY_POLL_MS)
    }
    throw new Error('a daemon did not become ready within the timeout')
  }
}
