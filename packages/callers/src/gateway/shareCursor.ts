import type { GatewayRoute, Random } from '@lovagehoist/common'

/** Fractional part of the golden ratio: multiples of it spread evenly over a circle. */
const GOLDEN = 0.6180339887498949

/** Splits the requests of each route between its services in an even order, so that few requests already keep the weights. */
export class ShareCursor {
  private readonly positions = new Map<string, number>()

  private constructor (private readonly random: Random) {}

  /**
   * Creates a cursor; each route begins at a place of its own, since every daemon sees only some of its requests.
   *
   * @param random - Draws where a route begins.
   * @returns The cursor.
   */
  static create (random: Random): ShareCursor {
    return new ShareCursor(random)
  }

  /**
   * Chooses the service of the next request of a route.
   *
   * @param route - Route.
   * @returns Name of the service.
   */
  next (route: GatewayRoute): string {
    const [only] = route.weightedServices
    if (route.weightedServices.length === 1 && only !== undefined) return only.service
    const position = ((this.positions.get(route.name) ?? this.random.next()) + GOLDEN) % 1
    this.positions.set(route.name, position)
    const total = route.weightedServices.reduce((sum, { weight }) => sum + weight, 0)
    let left = position * total
    for (const { service, weight } of route.weightedServices) {
      left -= weight
      if (left < 0) return service
    }
    return route.weightedServices.findLast(({ weight }) => weight > 0)?.service ?? only?.service ?? ''
  }
}
