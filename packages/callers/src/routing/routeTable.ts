import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import type { Clock, EnvironmentDocument, RouteConfig } from '@lovagehoist/common'

type Router = ReturnType<typeof findMyWay>

/** Name of the group of routes whose first path segment is a parameter or wildcard. */
const PATTERN_GROUP = ''
/** Number of routes added in one turn of the event loop; limited because the router compiles code for each route. */
const ROUTES_PER_SLICE = 8

/** Routes with a common first path segment. */
interface RouteGroup {
  /** Serialised routes; equal signatures mean equal groups. */
  readonly signature: string
  readonly router: Router
}

const createRouter = (): Router => findMyWay({ caseSensitive: true, ignoreTrailingSlash: false })

const firstSegment = (path: string): string => {
  const end = path.indexOf('/', 1)
  return end < 0 ? path.slice(1) : path.slice(1, end)
}

const groupOfRoute = ({ path }: RouteConfig): string => {
  const segment = firstSegment(path)
  return /[:*]/.test(segment) ? PATTERN_GROUP : segment
}

const groupOfRequest = (path: string): string => {
  const segment = firstSegment(path)
  if (!segment.includes('%')) return segment
  try {
    return decodeURI(segment)
  } catch {
    return segment
  }
}

const groupRoutes = (routes: readonly RouteConfig[]): ReadonlyMap<string, readonly RouteConfig[]> => {
  const groups = new Map<string, RouteConfig[]>()
  for (const route of routes) {
    const name = groupOfRoute(route)
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [route])
    else group.push(route)
  }
  return groups
}

const addRoute = (router: Router, route: RouteConfig): void => {
  const constraints = route.host === undefined ? {} : { constraints: { host: route.host } }
  router.on([...route.methods] as HTTPMethod[], route.path, constraints, () => {}, route)
}

/**
 * Finds the route of a request; built anew for each configuration document.
 *
 * Routes are grouped by their first path segment; unchanged groups are reused from the previous table.
 */
export class RouteTable {
  private constructor (private readonly groups: ReadonlyMap<string, RouteGroup>) {}

  /**
   * Builds the table synchronously.
   *
   * @param document - Document in force.
   * @returns The table.
   */
  static create (document: EnvironmentDocument): RouteTable {
    const groups = new Map<string, RouteGroup>()
    for (const [name, routes] of groupRoutes(document.routes)) {
      const router = createRouter()
      for (const route of routes) addRoute(router, route)
      groups.set(name, { signature: JSON.stringify(routes), router })
    }
    return new RouteTable(groups)
  }

  /**
   * Builds the table in slices, so that requests are served in between.
   *
   * @param document - Document that will come into force.
   * @param clock - Used to yield to the event loop between slices.
   * @param previous - Table of the previous document.
   * @returns The table.
   */
  static async build (document: EnvironmentDocument, clock: Clock, previous?: RouteTable): Promise<RouteTable> {
    const groups = new Map<string, RouteGroup>()
    for (const [name, routes] of groupRoutes(document.routes)) {
      const signature = JSON.stringify(routes)
      const existing = previous?.groups.get(name)
      if (existing?.signature === signature) {
        groups.set(name, existing)
        continue
      }
      const router = createRouter()
      for (const [index, route] of routes.entries()) {
        addRoute(router, route)
        if (index % ROUTES_PER_SLICE === ROUTES_PER_SLICE - 1) await clock.sleepMs(0)
      }
      groups.set(name, { signature, router })
    }
    return new RouteTable(groups)
  }

  /**
   * Finds a route.
   *
   * @param method - HTTP method.
   * @param path - Path without query.
   * @param host - Host without port.
   * @returns The route; undefined when the document names none.
   */
  find (method: string, path: string, host: string): RouteConfig | undefined {
    return this.findInGroup(groupOfRequest(path), method, path, host) ?? this.findInGroup(PATTERN_GROUP, method, path, host)
  }

  private findInGroup (group: string, method: string, path: string, host: string): RouteConfig | undefined {
    const found = this.groups.get(group)?.router.find(method as HTTPMethod, path, { host })
    return (found?.store as RouteConfig | null | undefined) ?? undefined
  }
}
