import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import type { DocumentRule, RouteConfig } from '@lovagehoist/common'

type Router = ReturnType<typeof findMyWay>

const createRouter = (): Router => findMyWay({ caseSensitive: true, ignoreTrailingSlash: false })

/**
 * Returns the first path segment of a route, or '' when it is a parameter or wildcard. Routes whose first segments differ can't
 * shadow each other, so each segment gets its own router: a router compares each route with all earlier ones.
 */
const firstSegmentOf = (route: RouteConfig): string => {
  const [, first = ''] = route.path.split('/')
  return /[:*]/.test(first) ? '' : first
}

const hostConstraintOf = (route: RouteConfig): { readonly host?: string } => route.host === undefined ? {} : { host: route.host.toLowerCase() }

/** Adds a route to a router; if the router rejects it, returns a description of what was expected instead. */
const addRoute = (router: Router, route: RouteConfig): string | undefined => {
  for (const method of route.methods) {
    try {
      router.on(method as HTTPMethod, route.path, { constraints: hostConstraintOf(route) }, () => {})
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error)
      return text.includes('already declared')
        ? `host, methods and path of a shape that no earlier route has (${method} ${route.path} is taken)`
        : `a path pattern such as "/burns/:id" or "/files/*" (${text})`
    }
  }
  return undefined
}

/** Rejects invalid path patterns, and routes whose requests an earlier route with the same host, method and path shape would receive. */
export const rejectShadowedRoutes: DocumentRule = ({ value, errorAt }) => {
  const routers = new Map<string, Router>()
  return value.routes.flatMap((route, index) => {
    const firstSegment = firstSegmentOf(route)
    const router = routers.get(firstSegment) ?? createRouter()
    routers.set(firstSegment, router)
    const problem = addRoute(router, route)
    return problem === undefined ? [] : [errorAt(['routes', index, 'path'], problem)]
  })
}
