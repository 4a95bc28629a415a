import type { EnvironmentDocument } from '@lovagehoist/common'

/**
 * Finds services that a document drops without saying so.
 *
 * @param before - Document that is accepted now.
 * @param next - Document to promote.
 * @returns Names of the services, sorted.
 */
export const silentlyRemovedServices = (before: EnvironmentDocument, next: EnvironmentDocument): readonly string[] => {
  const allowed = new Set(next.removedServices)
  return Object.keys(before.services)
    .filter(name => next.services[name] === undefined && !allowed.has(name))
    .sort()
}
