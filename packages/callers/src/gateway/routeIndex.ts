import type { GatewayConfig, GatewayRoute } from '@lovagehoist/common'

/** Routes of a configuration, found by host and longest prefix. */
export class RouteIndex {
  private constructor (
    private readonly hosts: ReadonlyMap<string, ReadonlyMap<string, GatewayRoute>>,
    private readonly mostUrgent: ReadonlyMap<string, number>
  ) {}

  /**
   * Indexes the routes of a configuration.
   *
   * @param config - Configuration.
   * @returns The index.
   */
  static create (config: GatewayConfig): RouteIndex {
    const hosts = new Map<string, Map<string, GatewayRoute>>()
    const mostUrgent = new Map<string, number>()
    for (const route of config.routes) {
      const prefixes = hosts.get(route.host) ?? new Map<string, GatewayRoute>()
      prefixes.set(route.pathPrefix, route)
      hosts.set(route.host, prefixes)
      for (const { service } of route.weightedServices) mostUrgent.set(service, Math.min(route.priority, mostUrgent.get(service) ?? Infinity))
    }
    return new RouteIndex(hosts, mostUrgent)
  }

  /**
   * Finds the route of a request.
   *
   * @param host - Host without port, in lower case.
   * @param path - Path without query.
   * @returns The route of that host with the longest prefix; undefined when none matches.
   */
  find (host: string, path: string): GatewayRoute | undefined {
    const prefixes = this.hosts.get(host)
    if (prefixes === undefined) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }

  /** Whether requests of another route go before this priority at a service. */
  yields (service: string, priority: number): boolean {
    return priority > (this.mostUrgent.get(service) ?? priority)
  }
}
