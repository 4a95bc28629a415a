import { Admission, AdmissionMetrics, RouteTable, serveRequest } from '@lovagehoist/callers'
import type { RequestHandler } from '@lovagehoist/callers'
import type { ConfigSource, StateSource } from '@lovagehoist/common'
import type { Base, Task } from './base.js'
import type { TargetSide } from './targetSide.js'

/** Parts that face callers. */
export interface CallerSide {
  readonly handler: RequestHandler
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
}

/**
 * Composes the parts that face callers.
 *
 * @param base - What every part needs.
 * @param config - Configuration in force.
 * @param targets - Parts that face targets.
 * @returns The parts.
 */
export const createCallerSide = (base: Base, config: ConfigSource, targets: TargetSide): CallerSide => {
  const admission = Admission.create({ clock: base.clock, random: base.random, capacity: targets.capacity, metrics: AdmissionMetrics.create(base.registry) })
  let routes: RouteTable | undefined
  config.onChange(accepted => { routes = RouteTable.create(accepted.document) })
  const { picker, sender, evidence } = targets
  const serve = { clock: base.clock, config, routes: () => routes, admission, picker, sender, evidence }
  return { handler: async (request, response) => { await serveRequest(serve, request, response) }, tasks: [], sources: [] }
}
