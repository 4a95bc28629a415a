import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { LocatedError } from '../text/locatedError.js'
import { readJsonc } from '../text/readJsonc.js'
import type { LocatedValue } from '../text/readJsonc.js'
import { documentSchema } from './schema.js'
import type { EnvironmentDocument } from './schema.js'

type Rule = (located: LocatedValue<EnvironmentDocument>) => readonly LocatedError[]

const rules: Readonly<Record<string, Rule>> = {
  floorsWithinCapacity: ({ value, errorAt }) =>
    Object.entries(value.services)
      .filter(([, service]) => service.floorSlots > service.plannedTargets * service.slotsPerTarget)
      .map(([id, service]) => errorAt(['services', id, 'floorSlots'],
        `at most plannedTargets x slotsPerTarget = ${service.plannedTargets * service.slotsPerTarget}`)),
  routesNameServices: ({ value, errorAt }) =>
    value.routes.flatMap((route, index) =>
      value.services[route.service] === undefined ? [errorAt(['routes', index, 'service'], 'the name of a service in this document')] : []),
  routeIdsAreUnique: ({ value, errorAt }) => {
    const seen = new Set<string>()
    return value.routes.flatMap((route, index) => {
      if (!seen.has(route.id)) {
        seen.add(route.id)
        return []
      }
      return [errorAt(['routes', index, 'id'], 'an id that no earlier route has')]
    })
  },
  eventsNameServices: ({ value, errorAt }) =>
    value.events.flatMap((event, index) => event.services.flatMap((id, position) =>
      value.services[id] === undefined ? [errorAt(['events', index, 'services', position], 'the name of a service in this document')] : []))
}

/**
 * Reads and checks a document.
 *
 * @param file - Name used in faults.
 * @param text - JSON with comments.
 * @returns The document with defaults filled in, or every fault.
 */
export const loadDocument = (file: string, text: string): Result<EnvironmentDocument, readonly LocatedError[]> =>
  readJsonc(file, text, documentSchema).andThen(located => {
    const errors = Object.values(rules).flatMap(rule => rule(located))
    return errors.length > 0 ? err(errors) : ok(located.value)
  })
