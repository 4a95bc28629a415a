import PQueue from 'p-queue'
import { fleetViewSchema } from '../inForce/fleetView.js'
import type { FleetView } from '../inForce/fleetView.js'
import type { CollectedViews } from '../inForce/awaitInForce.js'
import type { AdminClient } from '../cli/adminClient.js'

const MAX_CONCURRENT_CALLS = 16

/** Views that daemons of all environments returned, and the instances whose daemons returned none. */
export interface AllViews {
  readonly views: readonly FleetView[]
  readonly unansweredIds: readonly string[]
  /** Why each of these instances returned none. */
  readonly failures: readonly string[]
}

/**
 * Reads from every daemon with a known admin address which configuration version each instance holds.
 *
 * @param admin - Client of the admin interfaces.
 * @returns The views and the failures.
 */
export const readAllViews = async (admin: AdminClient): Promise<AllViews> => {
  const queue = new PQueue({ concurrency: MAX_CONCURRENT_CALLS })
  const views: FleetView[] = []
  const unansweredIds: string[] = []
  const failures: string[] = []
  await Promise.all(admin.instanceIds.map(async instanceId => await queue.add(async () => {
    const result = await admin.call(instanceId, { method: 'GET', path: '/config' })
    const view = fleetViewSchema.safeParse(result.unwrapOr(null))
    if (view.success) {
      views.push(view.data)
      return
    }
    unansweredIds.push(instanceId)
    failures.push(result.isErr() ? result.error.message : `${instanceId} answered in a shape that this version does not know`)
  })))
  return { views, unansweredIds: unansweredIds.sort(), failures: failures.sort() }
}

/**
 * Selects the views of one environment.
 *
 * The state of a daemon that returned no view comes from the views of its peers; if daemons run without peers, it counts as unreachable.
 *
 * @param all - Views of all environments.
 * @param environment - Environment.
 * @returns Its views.
 */
export const viewsOfEnvironment = (all: AllViews, environment: string): CollectedViews => {
  const views = all.views.filter(view => view.environment === environment)
  return { views, unansweredIds: views.some(({ isAlone }) => isAlone) ? all.unansweredIds : [] }
}
