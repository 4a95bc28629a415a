import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import type { DocumentRule, RouteConfig } from '@lovagehoist/common'

type Router = ReturnType<typeof findMyWay>

const newRouter = (): Router => findMyWay({ caseSensitive: true, ignoreTrailingSlash: false })

/** Routes whose first segments differ can't shadow each other; a router compares each route with all earlier ones. */
const groupOf = (route: RouteConfig): string => {
  const [, first = ''] = route.path.split('/')
  return /[:*]/.test(first) ? '' : first
}

const hostOf = (route: RouteConfig): { readonly host?: string } => route.host === undefined ? {} : { host: route.host.toLowerCase() }

const addRoute = (router: Router, route: RouteConfig): string | undefined => {
  for (const method of route.methods) {
    try {
      router.on(method as HTTPMethod, route.path, { constraints: hostOf(route) }, () => {})
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error)
      return text.includes('already declared')
        ? `host, methods and path of a shape that no earlier route has (${method} ${route.path} is taken)`
        : `a path pattern such as "/burns/:id" or "/files/*" (${text})`
    }
  }
  return undefined
}

/** Refuses routes that another one with the same host, method and shape of path takes the requests of. */
export const routesDoNotShadow: DocumentRule = ({ value, errorAt }) => {
  const routers = new Map<string, Router>()
  return value.routes.flatMap((route, index) => {
    const group = groupOf(route)
    const router = routers.get(group) ?? newRouter()
    routers.set(group, router)
    const expected = addRoute(router, route)
    return expected === undefined ? [] : [errorAt(['routes', index, 'path'], expected)]
  })
}
