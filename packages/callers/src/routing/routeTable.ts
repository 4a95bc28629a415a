import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import type { Clock, EnvironmentDocument, RouteConfig } from '@lovagehoist/common'

type Router = ReturnType<typeof findMyWay>

/** Group of the routes whose first segment is a pattern. */
const PATTERN_GROUP = ''
/** Routes added in one turn of the event loop: a router compiles code for each of them. */
const SLICE = 8

/** Routes that have their first segment in common. */
interface RouteGroup {
  /** Equal for groups of equal routes. */
  readonly signature: string
  readonly router: Router
}

const newRouter = (): Router => findMyWay({ caseSensitive: true, ignoreTrailingSlash: false })

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
 * Finds the route of a request; built once for each document.
 *
 * Routes are grouped by their first segment; a group that did not change is taken over from the table before.
 */
export class RouteTable {
  private constructor (private readonly groups: ReadonlyMap<string, RouteGroup>) {}

  /**
   * Builds the table at once.
   *
   * @param document - Document in force.
   * @returns The table.
   */
  static create (document: EnvironmentDocument): RouteTable {
    const groups = new Map<string, RouteGroup>()
    for (const [name, routes] of groupRoutes(document.routes)) {
      const router = newRouter()
      for (const route of routes) addRoute(router, route)
      groups.set(name, { signature: JSON.stringify(routes), router })
    }
    return new RouteTable(groups)
  }

  /**
   * Builds the table in slices, so that requests go on meanwhile.
   *
   * @param document - Document that will come into force.
   * @param clock - Yields between the slices.
   * @param before - Table of the document before.
   * @returns The table.
   */
  static async build (document: EnvironmentDocument, clock: Clock, before?: RouteTable): Promise<RouteTable> {
    const groups = new Map<string, RouteGroup>()
    for (const [name, routes] of groupRoutes(document.routes)) {
      const signature = JSON.stringify(routes)
      const same = before?.groups.get(name)
      if (same?.signature === signature) {
        groups.set(name, same)
        continue
      }
      const router = newRouter()
      for (const [index, route] of routes.entries()) {
        addRoute(router, route)
        if (index % SLICE === SLICE - 1) await clock.sleepMs(0)
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
    return this.findIn(groupOfRequest(path), method, path, host) ?? this.findIn(PATTERN_GROUP, method, path, host)
  }

  private findIn (group: string, method: string, path: string, host: string): RouteConfig | undefined {
    const found = this.groups.get(group)?.router.find(method as HTTPMethod, path, { host })
    return (found?.store as RouteConfig | null | undefined) ?? undefined
  }
}
