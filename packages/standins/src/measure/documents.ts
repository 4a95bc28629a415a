import type { JsonValue } from '@lovagehoist/common'
import { DRAIN_HEADER, SHED_HEADER, SHED_STATUS } from '../target/targetStandin.js'

/** Service in the configuration document of a measurement. */
export interface MeasuredService {
  readonly plannedTargets: number
  readonly slotsPerTarget: number
  readonly floorSlots: number
  readonly profile?: 'fast' | 'careful'
  readonly retryBudgetShare?: number
  readonly headTimeoutMs?: number
}

/** Fields that all routes of a document share. */
export interface SharedRouteFields {
  /** Limit of the whole exchange; the document's default applies when absent. */
  readonly timeoutMs?: number
}

const CONNECTIONS_PER_TARGET = 300

const readRoute = (service: string, routes: SharedRouteFields): JsonValue =>
  ({ id: `${service}-read`, methods: ['GET'], path: `/${service}/read/*`, service, isIdempotent: true, ...routes })

const payRoute = (service: string, routes: SharedRouteFields): JsonValue =>
  ({ id: `${service}-pay`, methods: ['POST'], path: `/${service}/pay/*`, service, priority: 'payment', keyHeader: 'Idempotency-Key', ...routes })

const serviceConfig = (service: MeasuredService): JsonValue => ({
  ...service,
  connectionsPerTarget: CONNECTIONS_PER_TARGET,
  shedAnswer: { status: SHED_STATUS, header: SHED_HEADER },
  drainHeader: DRAIN_HEADER
})

/**
 * Builds a configuration document with two routes for each service: `GET /SERVICE/read/*`, which is idempotent, and `POST /SERVICE/pay/*`, which is not.
 *
 * @param services - Services by name.
 * @param routes - Further fields of every route.
 * @returns The document.
 */
export const measuredDocument = (services: Readonly<Record<string, MeasuredService>>, routes: SharedRouteFields = {}): JsonValue => ({
  schemaVersion: 1,
  deployment: 'measured',
  accounts: { default: { maxInFlight: 100_000 } },
  services: Object.fromEntries(Object.entries(services).map(([name, service]) => [name, serviceConfig(service)])),
  routes: Object.keys(services).flatMap(name => [readRoute(name, routes), payRoute(name, routes)])
})
