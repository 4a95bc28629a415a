import type { EnvironmentDocument } from '@lovagehoist/common'

/**
 * Finds services that a document removes without listing them under `removedServices`.
 *
 * @param current - Document accepted now.
 * @param next - Document to promote.
 * @returns Names of the services, sorted.
 */
export const findUndeclaredRemovals = (current: EnvironmentDocument, next: EnvironmentDocument): readonly string[] => {
  const allowed = new Set(next.removedServices)
  return Object.keys(current.services)
    .filter(name => next.services[name] === undefined && !allowed.has(name))
    .sort()
}
