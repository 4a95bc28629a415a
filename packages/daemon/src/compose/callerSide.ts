import { Admission, AdmissionMetrics, ClaimStore, IdempotencyGuard, ClaimWriter, RequestIdGenerator, RetryBudget, RouteTable, createRequestMetrics, serveRequest } from '@lovagehoist/callers'
import type { RequestHandler, RequestMetrics, ServeOptions } from '@lovagehoist/callers'
import type { ConfigSource, PeerBus, StateSource } from '@lovagehoist/common'
import type { Base, Task } from './base.js'
import type { TargetSide } from './targetSide.js'

/** Parts that face callers. */
export interface CallerSide {
  readonly handler: RequestHandler
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
  /** Resolves when the claims of keys are settled. */
  readonly settle: () => Promise<void>
}

const createKeys = (base: Base, bus: PeerBus, metrics: RequestMetrics): IdempotencyGuard => {
  const { clock, random, platform, invariants } = base
  const writer = ClaimWriter.create({ table: platform.table, clock, random, fleetSize: () => bus.members().length + 1 })
  const claims = ClaimStore.create({ writer, clock, random })
  return IdempotencyGuard.create({ claims, objects: platform.objects, clock, metrics, invariants })
}

/**
 * Composes the parts that face callers.
 *
 * @param base - What every part needs.
 * @param config - Configuration in force.
 * @param bus - Communication between daemons.
 * @param targets - Parts that face targets.
 * @returns The parts.
 */
export const createCallerSide = (base: Base, config: ConfigSource, bus: PeerBus, targets: TargetSide): CallerSide => {
  const admission = Admission.create({ clock: base.clock, random: base.random, capacity: targets.capacity, metrics: AdmissionMetrics.create(base.registry) })
  const metrics = createRequestMetrics(base.registry)
  const keys = createKeys(base, bus, metrics)
  let routes: RouteTable | undefined
  let next: RouteTable | undefined
  config.onPrepare?.(async accepted => { next = await RouteTable.build(accepted.document, base.clock, routes) })
  config.onChange(accepted => { routes = next ?? RouteTable.create(accepted.document) })
  const { clock, invariants } = base
  const names = RequestIdGenerator.create(base.random)
  const { picker, sender, evidence, health, directory } = targets
  const budget = RetryBudget.create()
  const serve: ServeOptions = { clock, requestIds: names, invariants, config, routes: () => routes, admission, picker, sender, attemptSink: evidence, health, directory, retryBudget: budget, metrics, idempotencyGuard: keys }
  return {
    handler: async (request, response) => { await serveRequest(serve, request, response) },
    tasks: [],
    sources: [],
    settle: async () => { await keys.settled() }
  }
}
