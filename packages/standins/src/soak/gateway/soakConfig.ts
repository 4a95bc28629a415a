import type { Clock } from '@lovagehoist/common'
import type { RowStoreStandin } from '../../gateway/rowStoreStandin.js'

export const HOST_NAME = 'soak.example'
/** Number of newest versions whose probe routes are kept. */
const MAX_PROBE_ROUTES = 40
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout: '3000ms', idle_timeout: '15000ms' }

/** Route of all configuration versions, under the path prefix `/name/`. */
export interface SoakRoute {
  readonly name: string
  readonly kind: 'safe' | 'unsafe' | 'download'
  readonly service: string
  readonly timeoutMs: number
}

const TIMEOUT_MS = 4_000
const DEFAULT_ROUTES: readonly SoakRoute[] = [
  { name: 'menus', kind: 'safe', service: 'menus', timeoutMs: TIMEOUT_MS },
  { name: 'orders', kind: 'unsafe', service: 'orders', timeoutMs: TIMEOUT_MS }
]

const createRoute = ({ name, kind, service, timeoutMs }: SoakRoute, prefix: string): Readonly<Record<string, unknown>> =>
  ({ name, host: HOST_NAME, path_prefix: prefix, kind, timeout: `${timeoutMs}ms`, target_latency: '500ms', priority: 1, max_attempts: 2, service })

const createService = (name: string): Readonly<Record<string, unknown>> => ({ name, health_path: '/health', max_connections: 300, protocol: 'h1', tls: false })

/** Publishes configurations as the operator does. Each version adds a probe route, which shows callers whether it is in force. */
export class SoakConfig {
  version = 0
  private readonly publishTimes = new Map<number, number>()

  private constructor (private readonly store: RowStoreStandin, private readonly clock: Clock, private readonly routes: readonly SoakRoute[]) {}

  /**
   * Creates a publisher that has not published any version.
   *
   * @param store - Stand-in of the platform's row store.
   * @param clock - Source of time.
   * @param routes - Routes of all versions; the probe routes lead to the service of the first one.
   * @returns The publisher.
   */
  static create (store: RowStoreStandin, clock: Clock, routes = DEFAULT_ROUTES): SoakConfig {
    return new SoakConfig(store, clock, routes)
  }

  /** Writes the next version to the store. */
  publishNextVersion (): void {
    this.version++
    const versions = Array.from({ length: Math.min(this.version, MAX_PROBE_ROUTES) }, (_, index) => this.version - index)
    this.store.put('op', 'config', {
      version: `r${this.version}`,
      routes: [
        ...this.routes.map(route => createRoute(route, `/${route.name}/`)),
        ...versions.map(version => createRoute({ name: `probe-${version}`, kind: 'safe', service: this.routes[0]?.service ?? '', timeoutMs: TIMEOUT_MS }, probePathPrefix(version)))
      ],
      services: [...new Set(this.routes.map(({ service }) => service))].map(createService),
      limits: LIMITS
    })
    this.publishTimes.set(this.version, this.clock.monotonicMs())
  }

  /** Monotonic time at which the store acknowledged a version; infinity for one that was never published. */
  readonly publishedAtMs = (version: number): number => this.publishTimes.get(version) ?? Infinity
}

/** Path prefix of the probe route that a version adds. */
export const probePathPrefix = (version: number): string => `/since-${version}/`
