import type { GatewayRoute, Random } from '@lovagehoist/common'

/** Fractional part of the golden ratio: its multiples modulo 1 form a low-discrepancy sequence. */
const GOLDEN_RATIO_FRACTION = 0.6180339887498949

/** Splits the requests of each route between its services by weight, in an evenly spread order, so that even short runs keep the weights. */
export class TrafficSplitter {
  private readonly positions = new Map<string, number>()

  private constructor (private readonly random: Random) {}

  /**
   * Creates a splitter; each route starts at a random position, since every daemon receives only a part of its requests.
   *
   * @param random - Source of the starting positions.
   * @returns The splitter.
   */
  static create (random: Random): TrafficSplitter {
    return new TrafficSplitter(random)
  }

  /**
   * Selects the service for the next request of a route.
   *
   * @param route - Route with the weights of its services.
   * @returns Name of the service.
   */
  nextService (route: GatewayRoute): string {
    const [first] = route.weightedServices
    if (route.weightedServices.length === 1 && first !== undefined) return first.service
    const position = ((this.positions.get(route.name) ?? this.random.next()) + GOLDEN_RATIO_FRACTION) % 1
    this.positions.set(route.name, position)
    const totalWeight = route.weightedServices.reduce((sum, { weight }) => sum + weight, 0)
    let remainingWeight = position * totalWeight
    for (const { service, weight } of route.weightedServices) {
      remainingWeight -= weight
      if (remainingWeight < 0) return service
    }
    return route.weightedServices.findLast(({ weight }) => weight > 0)?.service ?? first?.service ?? ''
  }
}
