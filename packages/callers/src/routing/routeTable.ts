import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import type { EnvironmentDocument, RouteConfig } from '@lovagehoist/common'

/** Finds the route of a request; built once for each document. */
export class RouteTable {
  private readonly router = findMyWay({ caseSensitive: true, ignoreTrailingSlash: false })

  private constructor (routes: readonly RouteConfig[]) {
    for (const route of routes) {
      const constraints = route.host === undefined ? {} : { constraints: { host: route.host } }
      this.router.on([...route.methods] as HTTPMethod[], route.path, constraints, () => {}, route)
    }
  }

  /**
   * Builds the table.
   *
   * @param document - Document in force.
   * @returns The table.
   */
  static create (document: EnvironmentDocument): RouteTable {
    return new RouteTable(document.routes)
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
    const found = this.router.find(method as HTTPMethod, path, { host })
    return (found?.store as RouteConfig | null | undefined) ?? undefined
  }
}
