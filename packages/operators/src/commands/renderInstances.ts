import { renderTable, shortDigest } from '../cli/table.js'
import type { InstanceStanding } from '../inForce/checkInForce.js'

/**
 * Renders instances as a table.
 *
 * @param instances - Instances with their standing.
 * @returns The lines of the table.
 */
export const renderInstances = (instances: readonly InstanceStanding[]): string => renderTable(
  ['INSTANCE', 'ZONE', 'VERSION', 'DIGEST', 'READY', 'LINK', 'STANDING'],
  instances.map(({ instanceId, availabilityZone, version, digest, isReady, status, standing }) => [
    instanceId, availabilityZone === '' ? '-' : availabilityZone, version === 0 ? '-' : String(version), shortDigest(digest), isReady ? 'yes' : 'no', status, standing
  ])
)

/**
 * Lists the instances that keep a version from being in force everywhere.
 *
 * @param instances - Instances with their standing.
 * @returns One line for each such standing, with its instances.
 */
export const renderMissing = (instances: readonly InstanceStanding[]): string =>
  (['lagging', 'unreachable'] as const).flatMap(standing => {
    const ids = instances.filter(instance => instance.standing === standing).map(({ instanceId }) => instanceId)
    return ids.length === 0 ? [] : [`${standing}: ${ids.join(', ')}`]
  }).join('\n')
