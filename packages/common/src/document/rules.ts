import type { LocatedError } from '../text/locatedError.js'
import type { LocatedValue } from '../text/readJsonc.js'
import type { EnvironmentDocument } from './schema.js'

/** A check across several fields of a document; returns the errors that it finds. */
export type DocumentRule = (located: LocatedValue<EnvironmentDocument>) => readonly LocatedError[]

const isTimeZone = (name: string): boolean => {
  try {
    return new Intl.DateTimeFormat('en', { timeZone: name }).resolvedOptions().timeZone !== ''
  } catch {
    return false
  }
}

const floorsFitCapacity: DocumentRule = ({ value, errorAt }) =>
  Object.entries(value.services)
    .filter(([, service]) => service.floorSlots > service.plannedTargets * service.slotsPerTarget)
    .map(([id, service]) => errorAt(['services', id, 'floorSlots'],
      `at most plannedTargets x slotsPerTarget = ${service.plannedTargets * service.slotsPerTarget}`))

const connectionsCoverSlots: DocumentRule = ({ value, errorAt }) =>
  Object.entries(value.services)
    .filter(([, service]) => service.floorSlots > 0 && service.connectionsPerTarget < service.slotsPerTarget)
    .map(([id, service]) => errorAt(['services', id, 'connectionsPerTarget'],
      `at least slotsPerTarget = ${service.slotsPerTarget}: each slot of the floor needs a connection`))

const routeServicesExist: DocumentRule = ({ value, errorAt }) =>
  value.routes.flatMap((route, index) =>
    value.services[route.service] === undefined ? [errorAt(['routes', index, 'service'], 'the name of a service in this document')] : [])

const routeIdsAreUnique: DocumentRule = ({ value, errorAt }) => {
  const seen = new Set<string>()
  return value.routes.flatMap((route, index) => {
    if (!seen.has(route.id)) {
      seen.add(route.id)
      return []
    }
    return [errorAt(['routes', index, 'id'], 'an id that no earlier route has')]
  })
}

const eventServicesExist: DocumentRule = ({ value, errorAt }) =>
  value.events.flatMap((event, index) => event.services.flatMap((id, position) =>
    value.services[id] === undefined ? [errorAt(['events', index, 'services', position], 'the name of a service in this document')] : []))

const eventTimeZonesExist: DocumentRule = ({ value, errorAt }) =>
  value.events.flatMap((event, index) =>
    isTimeZone(event.timeZone) ? [] : [errorAt(['events', index, 'timeZone'], 'a time zone of the IANA list, such as "Europe/Budapest"')])

const removedServicesAreAbsent: DocumentRule = ({ value, errorAt }) =>
  value.removedServices.flatMap((id, index) =>
    value.services[id] === undefined ? [] : [errorAt(['removedServices', index], 'a service that this document no longer has')])

/** The checks that depend on the document alone. */
export const documentRules: readonly DocumentRule[] = [
  floorsFitCapacity,
  connectionsCoverSlots,
  routeServicesExist,
  routeIdsAreUnique,
  eventServicesExist,
  eventTimeZonesExist,
  removedServicesAreAbsent
]
