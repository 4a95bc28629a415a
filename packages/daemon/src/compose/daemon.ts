import { CallerServer } from '@lovagehoist/callers'
import type { Settings } from '@lovagehoist/common'
import { AdminServer } from '@lovagehoist/operators'
import { composeParts } from './parts.js'
import type { DaemonParts } from './parts.js'
import type { DaemonWorld } from './world.js'

interface Servers {
  readonly callers?: CallerServer
  readonly admin?: AdminServer
}

/** An address of the settings that could not be listened on. */
export class ListenError extends Error {
  constructor (readonly field: 'callers' | 'admin' | 'peers', readonly address: { readonly host: string, readonly port: number }, readonly code: string) {
    super(`${field}: ${address.host} port ${address.port} can't be listened on (${code})`)
  }
}

const listenOn = async <T>(field: ListenError['field'], address: ListenError['address'], open: () => Promise<T>): Promise<T> => {
  try {
    return await open()
  } catch (error) {
    throw new ListenError(field, address, (error as { readonly code?: string }).code ?? String(error))
  }
}

/** One running daemon. */
export class Daemon {
  private isDraining = false
  private servers: Servers = {}
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
   * @returns The daemon, once it listens; fails with a `ListenError` when an address can't be had.
   */
  static async create (settings: Settings, world: DaemonWorld): Promise<Daemon> {
    const daemon = new Daemon(settings, world, composeParts(settings, world))
    try {
      await daemon.listen()
    } catch (error) {
      daemon.servers.callers?.close()
      await daemon.stop()
      throw error
    }
    return daemon
  }

  /** Ports that the daemon listens on. */
  get ports (): { readonly callers: number, readonly admin: number } {
    return { callers: this.servers.callers?.port ?? 0, admin: this.servers.admin?.port ?? 0 }
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
    const report = await this.servers.callers?.drain(this.settings.drain)
    await this.stop()
    this.parts.log.info('daemon left', { cutExchanges: report?.cutExchanges ?? 0 })
    this.resolveDone()
  }

  private async stop (): Promise<void> {
    await this.parts.stop()
    await this.servers.admin?.close()
  }

  private async listen (): Promise<void> {
    const { settings, parts } = this
    const { log, handler } = parts
    const callers = await listenOn('callers', settings.callers, async () =>
      await CallerServer.create({ address: settings.callers, limits: settings.limits, clock: this.world.clock, log: log.child('callers'), handler }))
    this.servers = { callers }
    const admin = await listenOn('admin', settings.admin, async () => await this.openAdmin())
    this.servers = { callers, admin }
    const { peersPort } = await listenOn('peers', settings.peers, parts.start)
    log.info('daemon started', { ...this.ports, peers: peersPort })
  }

  private async openAdmin (): Promise<AdminServer> {
    const { log, registry, sources, viewFleet, viewTargets, bus, readToken } = this.parts
    return await AdminServer.create({
      address: this.settings.admin,
      registry,
      sources,
      viewFleet,
      viewTargets,
      bus,
      readToken,
      isReady: () => this.isReady(),
      drain: () => { this.drain().catch((error: unknown) => { log.error('drain failed', { error: String(error) }) }) }
    })
  }
}
