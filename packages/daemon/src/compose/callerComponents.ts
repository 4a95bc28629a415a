import { Admission, AdmissionMetrics, ClaimStore, IdempotencyGuard, ClaimWriter, RequestIdGenerator, RetryBudget, RouteTable, createRequestMetrics, serveRequest } from '@lovagehoist/callers'
import type { RequestHandler, RequestMetrics, ServeOptions } from '@lovagehoist/callers'
import type { ConfigSource, PeerBus, StateSource } from '@lovagehoist/common'
import type { DaemonContext, BackgroundTask } from './daemonContext.js'
import type { TargetComponents } from './targetComponents.js'

/** Components that accept and serve requests of callers. */
export interface CallerComponents {
  readonly handler: RequestHandler
  readonly tasks: readonly BackgroundTask[]
  readonly sources: readonly StateSource[]
  /** Resolves when every claimed idempotency key has been settled in the store. */
  readonly settleClaims: () => Promise<void>
}

const createIdempotencyGuard = (context: DaemonContext, bus: PeerBus, metrics: RequestMetrics): IdempotencyGuard => {
  const { clock, random, platform, invariants } = context
  const writer = ClaimWriter.create({ table: platform.table, clock, random, fleetSize: () => bus.members().length + 1 })
  const claims = ClaimStore.create({ writer, clock, random })
  return IdempotencyGuard.create({ claims, objects: platform.objects, clock, metrics, invariants })
}

/**
 * Creates the components that accept and serve requests of callers.
 *
 * @param context - Services shared by all components.
 * @param config - Configuration by which requests are served.
 * @param bus - Messages and membership between daemons.
 * @param targets - Components that select targets and send to them.
 * @returns The components.
 */
export const createCallerComponents = (context: DaemonContext, config: ConfigSource, bus: PeerBus, targets: TargetComponents): CallerComponents => {
  const admission = Admission.create({ clock: context.clock, random: context.random, capacity: targets.capacity, metrics: AdmissionMetrics.create(context.registry) })
  const metrics = createRequestMetrics(context.registry)
  const idempotencyGuard = createIdempotencyGuard(context, bus, metrics)
  let routes: RouteTable | undefined
  let preparedRoutes: RouteTable | undefined
  config.onPrepare?.(async accepted => { preparedRoutes = await RouteTable.build(accepted.document, context.clock, routes) })
  config.onChange(accepted => { routes = preparedRoutes ?? RouteTable.create(accepted.document) })
  const { clock, invariants } = context
  const requestIds = RequestIdGenerator.create(context.random)
  const { picker, sender, attemptSink, health, directory } = targets
  const retryBudget = RetryBudget.create()
  const serveOptions: ServeOptions = { clock, requestIds, invariants, config, routes: () => routes, admission, picker, sender, attemptSink, health, directory, retryBudget, metrics, idempotencyGuard }
  return {
    handler: async (request, response) => { await serveRequest(serveOptions, request, response) },
    tasks: [],
    sources: [],
    settleClaims: async () => { await idempotencyGuard.settled() }
  }
}
