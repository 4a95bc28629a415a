import { CallerServer } from '@lovagehoist/callers'
import type { Settings } from '@lovagehoist/common'
import { AdminServer } from '@lovagehoist/operators'
import { composeDaemon } from './daemonComponents.js'
import type { DaemonComponents } from './daemonComponents.js'
import type { DaemonDependencies } from './daemonDependencies.js'

interface Servers {
  readonly callers?: CallerServer
  readonly admin?: AdminServer
}

/** Listening on an address of the settings failed. */
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

/** A running daemon. */
export class Daemon {
  private isDraining = false
  private servers: Servers = {}
  private resolveDone: () => void = () => {}
  /** Resolves when the daemon has drained and stopped. */
  readonly done: Promise<void>

  private constructor (private readonly settings: Settings, private readonly dependencies: DaemonDependencies, private readonly components: DaemonComponents) {
    this.done = new Promise(resolve => { this.resolveDone = resolve })
  }

  /**
   * Creates a daemon and starts it.
   *
   * @param settings - Settings of the daemon.
   * @param dependencies - Clock, randomness, platform and output.
   * @returns The daemon, once it listens; rejects with a `ListenError` when it can't listen on an address.
   */
  static async create (settings: Settings, dependencies: DaemonDependencies): Promise<Daemon> {
    const daemon = new Daemon(settings, dependencies, composeDaemon(settings, dependencies))
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

  /** Whether the daemon has a configuration and a target list and is not draining. */
  isReady (): boolean {
    return this.components.isReady() && !this.isDraining
  }

  /** Becomes unready, keeps serving until the load balancer has noticed, finishes requests in flight and stops. */
  async drain (): Promise<void> {
    if (this.isDraining) return
    this.isDraining = true
    this.components.log.info('draining')
    const report = await this.servers.callers?.drain(this.settings.drain)
    await this.stop()
    this.components.log.info('daemon left', { cutExchanges: report?.cutExchanges ?? 0 })
    this.resolveDone()
  }

  private async stop (): Promise<void> {
    await this.components.stop()
    await this.servers.admin?.close()
  }

  private async listen (): Promise<void> {
    const { settings, components } = this
    const { log, handler } = components
    const callers = await listenOn('callers', settings.callers, async () =>
      await CallerServer.create({ address: settings.callers, limits: settings.limits, clock: this.dependencies.clock, log: log.child('callers'), handler }))
    this.servers = { callers }
    const admin = await listenOn('admin', settings.admin, async () => await this.startAdminServer())
    this.servers = { callers, admin }
    const { peersPort } = await listenOn('peers', settings.peers, components.start)
    log.info('daemon started', { ...this.ports, peers: peersPort })
  }

  private async startAdminServer (): Promise<AdminServer> {
    const { log, registry, sources, viewFleet, viewTargets, bus, readToken } = this.components
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
