import type { Clock } from '@lovagehoist/common'
import type { RowStoreStandin } from '../../gateway/rowStoreStandin.js'

export const HOST_NAME = 'soak.example'
/** Versions whose routes are still there. */
const KEPT_VERSIONS = 40
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout: '3000ms', idle_timeout: '15000ms' }

const routeOf = (name: string, prefix: string, kind: 'safe' | 'unsafe', service: string): Readonly<Record<string, unknown>> =>
  ({ name, host: HOST_NAME, path_prefix: prefix, kind, timeout: '4000ms', target_latency: '500ms', priority: 1, max_attempts: 2, service })

const serviceOf = (name: string): Readonly<Record<string, unknown>> => ({ name, health_path: '/health', max_connections: 300, protocol: 'h1', tls: false })

/** The operator: each version adds a route by which callers can tell that it is in force. */
export class SoakConfig {
  version = 0
  private readonly changedAt = new Map<number, number>()

  private constructor (private readonly store: RowStoreStandin, private readonly clock: Clock) {}

  /**
   * Creates an operator that has written nothing.
   *
   * @param store - Store of the platform.
   * @param clock - Source of time.
   * @returns The operator.
   */
  static create (store: RowStoreStandin, clock: Clock): SoakConfig {
    return new SoakConfig(store, clock)
  }

  /** Writes the next version. */
  change (): void {
    this.version++
    const versions = Array.from({ length: Math.min(this.version, KEPT_VERSIONS) }, (_, index) => this.version - index)
    this.store.put('op', 'config', {
      version: `r${this.version}`,
      routes: [
        routeOf('menus', '/menus/', 'safe', 'menus'),
        routeOf('orders', '/orders/', 'unsafe', 'orders'),
        ...versions.map(version => routeOf(`probe-${version}`, probePrefix(version), 'safe', 'menus'))
      ],
      services: ['menus', 'orders'].map(serviceOf),
      limits: LIMITS
    })
    this.changedAt.set(this.version, this.clock.monotonicMs())
  }

  /** Monotonic time at which the store acknowledged a version. */
  readonly changedAtMs = (version: number): number => this.changedAt.get(version) ?? Infinity
}

/** Path prefix that exists from a version on. */
export const probePrefix = (version: number): string => `/since-${version}/`
