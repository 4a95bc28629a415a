import type { Clock } from '@lovagehoist/common'
import type { RowStoreStandin } from '../../gateway/rowStoreStandin.js'

export const HOST_NAME = 'soak.example'
/** Number of newest versions whose probe routes are kept. */
const MAX_PROBE_ROUTES = 40
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout: '3000ms', idle_timeout: '15000ms' }

const createRoute = (name: string, prefix: string, kind: 'safe' | 'unsafe', service: string): Readonly<Record<string, unknown>> =>
  ({ name, host: HOST_NAME, path_prefix: prefix, kind, timeout: '4000ms', target_latency: '500ms', priority: 1, max_attempts: 2, service })

const createService = (name: string): Readonly<Record<string, unknown>> => ({ name, health_path: '/health', max_connections: 300, protocol: 'h1', tls: false })

/** Publishes configurations as the operator does. Each version adds a probe route, which shows callers whether it is in force. */
export class SoakConfig {
  version = 0
  private readonly publishTimes = new Map<number, number>()

  private constructor (private readonly store: RowStoreStandin, private readonly clock: Clock) {}

  /**
   * Creates a publisher that has not published any version.
   *
   * @param store - Stand-in of the platform's row store.
   * @param clock - Source of time.
   * @returns The publisher.
   */
  static create (store: RowStoreStandin, clock: Clock): SoakConfig {
    return new SoakConfig(store, clock)
  }

  /** Writes the next version to the store. */
  publishNextVersion (): void {
    this.version++
    const versions = Array.from({ length: Math.min(this.version, MAX_PROBE_ROUTES) }, (_, index) => this.version - index)
    this.store.put('op', 'config', {
      version: `r${this.version}`,
      routes: [
        createRoute('menus', '/menus/', 'safe', 'menus'),
        createRoute('orders', '/orders/', 'unsafe', 'orders'),
        ...versions.map(version => createRoute(`probe-${version}`, probePathPrefix(version), 'safe', 'menus'))
      ],
      services: ['menus', 'orders'].map(createService),
      limits: LIMITS
    })
    this.publishTimes.set(this.version, this.clock.monotonicMs())
  }

  /** Monotonic time at which the store acknowledged a version; infinity for one that was never published. */
  readonly publishedAtMs = (version: number): number => this.publishTimes.get(version) ?? Infinity
}

/** Path prefix of the probe route that a version adds. */
export const probePathPrefix = (version: number): string => `/since-${version}/`
