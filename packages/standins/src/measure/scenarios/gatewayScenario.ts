import { GatewayFleet } from '../../gateway/gatewayFleet.js'

/** Size of a fleet of gateway daemons in one process. */
export interface ZonedFleetOptions {
  readonly seed: number
  readonly instances: number
  readonly services: ReadonlyArray<{ readonly service: string, readonly kind: 'safe' | 'unsafe', readonly targets: number }>
  readonly workMs: number
  /** Whether the daemons' links to the targets can be cut. */
  readonly hasCuttableLinks?: boolean
}

export const ZONES = ['a', 'b', 'c'] as const
const ROUNDING_FACTOR = 1_000

/** Rounds a share to thousandths. */
export const round = (value: number): number => Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR

/** Starts targets and daemons, spread over the zones. */
export const startZonedFleet = async ({ seed, instances, services, workMs, hasCuttableLinks = false }: ZonedFleetOptions): Promise<GatewayFleet> => {
  const fleet = await GatewayFleet.create(seed)
  fleet.hasCuttableLinks = hasCuttableLinks
  fleet.configure(services.map(({ service, kind }) => ({ prefix: `/${service}/`, kind, service })))
  for (const { service, targets } of services) {
    for (let index = 0; index < targets; index++) (await fleet.addTarget(`${service}-${index}`, service, ZONES[index % ZONES.length])).workMs = workMs
  }
  for (let index = 0; index < instances; index++) await fleet.addDaemon(ZONES[index % ZONES.length])
  return fleet
}

/** Runs of requests that can't be repeated beyond the first one of each. */
export const countDuplicates = (fleet: GatewayFleet): number => {
  const ids = fleet.runs().filter(({ targetId }) => targetId.startsWith('orders')).map(({ requestId }) => requestId)
  return ids.length - new Set(ids).size
}
