import { renderTable, shortDigest } from '../cli/table.js'
import type { JudgedInstance } from '../inForce/judge.js'

/**
 * Writes instances as a table.
 *
 * @param instances - Instances with their standing.
 * @returns Lines.
 */
export const renderInstances = (instances: readonly JudgedInstance[]): string => renderTable(
  ['INSTANCE', 'ZONE', 'VERSION', 'DIGEST', 'READY', 'LINK', 'STANDING'],
  instances.map(({ instanceId, availabilityZone, version, digest, isReady, status, standing }) => [
    instanceId, availabilityZone === '' ? '-' : availabilityZone, version === 0 ? '-' : String(version), shortDigest(digest), isReady ? 'yes' : 'no', status, standing
  ])
)

/**
 * Names the instances that keep a version from being in force.
 *
 * @param instances - Instances with their standing.
 * @returns One line for each standing that does.
 */
export const renderMissing = (instances: readonly JudgedInstance[]): string =>
  (['lagging', 'unreachable'] as const).flatMap(standing => {
    const ids = instances.filter(instance => instance.standing === standing).map(({ instanceId }) => instanceId)
    return ids.length === 0 ? [] : [`${standing}: ${ids.join(', ')}`]
  }).join('\n')
