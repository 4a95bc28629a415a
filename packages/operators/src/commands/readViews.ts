import PQueue from 'p-queue'
import { fleetViewSchema } from '../inForce/fleetView.js'
import type { FleetView } from '../inForce/fleetView.js'
import type { Views } from '../inForce/awaitInForce.js'
import type { AdminClient } from '../cli/adminClient.js'

const CONCURRENCY = 16

/** Views of daemons of every environment, and who gave none. */
export interface AllViews {
  readonly views: readonly FleetView[]
  readonly silent: readonly string[]
  /** Why the silent ones gave none. */
  readonly failures: readonly string[]
}

/**
 * Asks every daemon whose address is known which configuration the instances hold.
 *
 * @param admin - Admin interfaces.
 * @returns The views.
 */
export const readAllViews = async (admin: AdminClient): Promise<AllViews> => {
  const queue = new PQueue({ concurrency: CONCURRENCY })
  const views: FleetView[] = []
  const silent: string[] = []
  const failures: string[] = []
  await Promise.all(admin.instanceIds.map(async instanceId => await queue.add(async () => {
    const reply = await admin.call(instanceId, { method: 'GET', path: '/config' })
    const view = fleetViewSchema.safeParse(reply.unwrapOr(null))
    if (view.success) {
      views.push(view.data)
      return
    }
    silent.push(instanceId)
    failures.push(reply.isErr() ? reply.error.message : `${instanceId} answered in a shape that this version does not know`)
  })))
  return { views, silent: silent.sort(), failures: failures.sort() }
}

/**
 * Chooses the views of one environment.
 *
 * A daemon that gave no view is judged by what its peers say; where daemons have no peers it counts as unreachable.
 *
 * @param all - Views of every environment.
 * @param environment - Environment.
 * @returns Its views.
 */
export const viewsOf = (all: AllViews, environment: string): Views => {
  const views = all.views.filter(view => view.environment === environment)
  return { views, silent: views.some(({ isAlone }) => isAlone) ? all.silent : [] }
}
