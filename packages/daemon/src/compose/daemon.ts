import { CallerServer } from '@lovagehoist/callers'
import type { Settings } from '@lovagehoist/common'
import { AdminServer } from '@lovagehoist/operators'
import { composeParts } from './parts.js'
import type { DaemonParts } from './parts.js'
import type { DaemonWorld } from './world.js'

interface Servers {
  readonly callers: CallerServer
  readonly admin: AdminServer
}

/** One running daemon. */
export class Daemon {
  private isDraining = false
  private servers: Servers | undefined
  private resolveDone: () => void = () => {}
  /** Resolves when the daemon has left. */
  readonly done: Promise<void>

  private constructor (private readonly settings: Settings, private readonly world: DaemonWorld, private readonly parts: DaemonParts) {
    this.done = new Promise(resolve => { this.resolveDone = resolve })
  }

  /**
   * Composes and starts a daemon.
   *
   * @param settings - Settings of the daemon.
   * @param world - Time, randomness, platform and output.
   * @returns The daemon, once it listens.
   */
  static async create (settings: Settings, world: DaemonWorld): Promise<Daemon> {
    const daemon = new Daemon(settings, world, composeParts(settings, world))
    await daemon.listen()
    return daemon
  }

  /** Ports that the daemon listens on. */
  get ports (): { readonly callers: number, readonly admin: number } {
    return { callers: this.servers?.callers.port ?? 0, admin: this.servers?.admin.port ?? 0 }
  }

  /** Whether the daemon holds a configuration and is not leaving. */
  isReady (): boolean {
    return this.parts.isReady() && !this.isDraining
  }

  /** Becomes unready, serves on while the balancer lags, finishes what is in flight and leaves. */
  async drain (): Promise<void> {
    if (this.isDraining) return
    this.isDraining = true
    this.parts.log.info('draining')
    const report = await this.servers?.callers.drain(this.settings.drain)
    await this.parts.stop()
    await this.servers?.admin.close()
    this.parts.log.info('daemon left', { cutExchanges: report?.cutExchanges ?? 0 })
    this.resolveDone()
  }

  private async listen (): Promise<void> {
    const { settings, parts } = this
    const { log, registry, sources, handler } = parts
    const callers = await CallerServer.create({ address: settings.callers, limits: settings.limits, clock: this.world.clock, log: log.child('callers'), handler })
    const admin = await AdminServer.create({
      address: settings.admin,
      registry,
      sources,
      isReady: () => this.isReady(),
      drain: () => { this.drain().catch((error: unknown) => { log.error('drain failed', { error: String(error) }) }) }
    })
    this.servers = { callers, admin }
    const { peersPort } = await parts.start()
    log.info('daemon started', { ...this.ports, peers: peersPort })
  }
}
