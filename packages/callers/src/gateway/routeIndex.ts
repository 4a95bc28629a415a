import type { GatewayConfig, GatewayRoute } from '@lovagehoist/common'

/** Looks up the routes of a configuration by host and longest path prefix. */
export class RouteIndex {
  private constructor (
    private readonly hosts: ReadonlyMap<string, ReadonlyMap<string, GatewayRoute>>,
    private readonly topPriorities: ReadonlyMap<string, number>
  ) {}

  /**
   * Indexes the routes of a configuration.
   *
   * @param config - Configuration.
   * @returns The index.
   */
  static create (config: GatewayConfig): RouteIndex {
    const hosts = new Map<string, Map<string, GatewayRoute>>()
    const topPriorities = new Map<string, number>()
    const topAccountPriority = Math.min(...(config.accounts ?? []).map(({ priority }) => priority ?? Infinity))
    for (const route of config.routes) {
      const prefixes = hosts.get(route.host) ?? new Map<string, GatewayRoute>()
      prefixes.set(route.pathPrefix, route)
      hosts.set(route.host, prefixes)
      for (const { service } of route.weightedServices) topPriorities.set(service, Math.min(route.priority, route.isPublic ? Infinity : topAccountPriority, topPriorities.get(service) ?? Infinity))
    }
    return new RouteIndex(hosts, topPriorities)
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

  /** Whether another route with a higher priority (a lower number) sends requests to the same service. */
  isOutranked (service: string, priority: number): boolean {
    return priority > (this.topPriorities.get(service) ?? priority)
  }
}
