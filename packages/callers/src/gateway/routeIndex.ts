import type { GatewayConfig, GatewayRoute } from '@lovagehoist/common'

/** Position of a priority among those in use at a service; 0 is the most urgent. */
export interface PriorityRank {
  readonly rank: number
  /** Number of priorities in use at the service. */
  readonly ranks: number
}

/** Looks up the routes of a configuration by host and longest path prefix. */
export class RouteIndex {
  private constructor (
    private readonly hosts: ReadonlyMap<string, ReadonlyMap<string, GatewayRoute>>,
    /** Priorities in use at each service, the most urgent first. */
    private readonly priorities: ReadonlyMap<string, readonly number[]>
  ) {}

  /**
   * Indexes the routes of a configuration.
   *
   * @param config - Configuration.
   * @returns The index.
   */
  static create (config: GatewayConfig): RouteIndex {
    const hosts = new Map<string, Map<string, GatewayRoute>>()
    const priorities = new Map<string, ReadonlySet<number>>()
    const accountPriorities = (config.accounts ?? []).flatMap(({ priority }) => priority === undefined ? [] : [priority])
    for (const route of config.routes) {
      const prefixes = hosts.get(route.host) ?? new Map<string, GatewayRoute>()
      prefixes.set(route.pathPrefix, route)
      hosts.set(route.host, prefixes)
      const used = route.isPublic ? [route.priority] : [...accountPriorities, route.priority]
      for (const { service } of route.weightedServices) priorities.set(service, new Set([...priorities.get(service) ?? [], ...used]))
    }
    return new RouteIndex(hosts, new Map([...priorities].map(([service, all]) => [service, [...all].sort((a, b) => a - b)])))
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

  /** Whether another route or account with a higher priority (a lower number) sends requests to the same service. */
  isOutranked (service: string, priority: number): boolean {
    return priority > (this.priorities.get(service)?.[0] ?? priority)
  }

  /** Position of a priority among those in use at a service. */
  rankOf (service: string, priority: number): PriorityRank {
    const used = this.priorities.get(service) ?? []
    return { rank: used.filter(other => other < priority).length, ranks: Math.max(1, used.length) }
  }
}
