import { SeededRandom, SystemClock, loadSettings } from '@lovagehoist/common'
import type { InvariantBreach, JsonValue, Settings } from '@lovagehoist/common'
import { Daemon } from '@lovagehoist/daemon'
import { promote, storeDocument } from '@lovagehoist/operators'
import { createPlatform } from '@lovagehoist/store'
import { PlatformStandin } from '../platform/platformStandin.js'
import { TargetStandin } from '../target/targetStandin.js'
import type { TargetBehaviour } from '../target/behaviour.js'

const HOST = '127.0.0.1'
const SLOTS = 6
const READY_POLL_INTERVAL_MS = 10

/** Real daemons with stand-ins of the platform and the targets, all in this process, for end-to-end tests. */
export class InProcessFleet {
  readonly clock = SystemClock.create()
  readonly random = SeededRandom.create(1)
  readonly targets: TargetStandin[] = []
  readonly daemons: Daemon[] = []
  readonly breaches: InvariantBreach[] = []

  private constructor (readonly platform: PlatformStandin) {}

  /** Starts a stand-in of the platform; targets and daemons are added later. */
  static async create (): Promise<InProcessFleet> {
    return new InProcessFleet(await PlatformStandin.create(SystemClock.create(), SeededRandom.create(1)))
  }

  /** Starts a target and registers it in the directory. */
  async addTarget (service: string, behaviour: Partial<TargetBehaviour> = {}): Promise<TargetStandin> {
    const id = `${service}-${this.targets.length}`
    const target = await TargetStandin.create({ id, clock: this.clock, random: this.random, behaviour })
    this.platform.register({
      id, role: 'target', service, host: HOST, port: target.port, state: 'live', startedAtMs: 0, slots: SLOTS, region: 'local', availabilityZone: 'a'
    })
    this.targets.push(target)
    return target
  }

  /** Stores and promotes a document. */
  async promote (document: JsonValue): Promise<void> {
    const platform = createPlatform(this.platformUrls, this.clock)
    const digest = (await storeDocument(platform, 'document.jsonc', Buffer.from(JSON.stringify(document))))._unsafeUnwrap()
    const request = { environment: 'production', digest, operationId: this.random.id(), promotedBy: 'test' }
    ;(await promote({ platform, clock: this.clock }, request))._unsafeUnwrap()
    await platform.close()
  }

  /** Starts a daemon and waits until it is ready. */
  async addDaemon (): Promise<Daemon> {
    const daemon = await Daemon.create(this.settings(), {
      clock: this.clock,
      random: this.random,
      openPlatform: settings => createPlatform(settings.platform, this.clock),
      write: () => {},
      onBreach: breach => { this.breaches.push(breach) }
    })
    this.daemons.push(daemon)
    while (!daemon.isReady()) await this.clock.sleepMs(READY_POLL_INTERVAL_MS)
    return daemon
  }

  /** Base URL of a daemon's listener for callers. */
  urlOf (daemon: Daemon): string {
    return `http://${HOST}:${daemon.ports.callers}`
  }

  /** Drains the daemons, then stops targets and platform. */
  async close (): Promise<void> {
    await Promise.all(this.daemons.map(async daemon => { await daemon.drain() }))
    await Promise.all(this.targets.map(async target => { await target.close() }))
    await this.platform.close()
  }

  private get platformUrls (): Settings['platform'] {
    const { url } = this.platform
    return { tableUrl: `${url}/table`, objectsUrl: `${url}/objects`, directoryUrl: `${url}/directory` }
  }

  private settings (): Settings {
    return loadSettings('daemon.jsonc', JSON.stringify({
      instance: { id: `daemon-${this.daemons.length}`, region: 'local', availabilityZone: 'a' },
      environment: 'production',
      callers: { host: HOST, port: 0 },
      admin: { host: HOST, port: 0 },
      peers: { host: HOST, port: 0 },
      platform: this.platformUrls,
      drain: { balancerLagMs: 0, longestExchangeMs: 5_000 }
    }))._unsafeUnwrap()
  }
}
