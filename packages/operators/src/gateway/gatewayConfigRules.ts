import { isBearerToken } from '@lovagehoist/common'
import type { FieldPath, GatewayConfig, InvalidField } from '@lovagehoist/common'

/** A field that no daemon refuses to decode but that can't work as written; a warning may be intended. */
export interface ConfigFinding extends InvalidField {
  readonly severity: 'error' | 'warning'
}

/** A rule that a configuration has to satisfy. */
type ConfigRule = (config: GatewayConfig) => readonly ConfigFinding[]

/** Requests are refused before routing if their path has one of these, and a query is cut off. */
const UNMATCHABLE_PREFIX = /^\/\/|[^!-~]|[\\#?]/
/** The port of a request's host is cut off before routing. */
const UNMATCHABLE_HOST = /:\d*$|[/\s]/

const errorAt = (path: FieldPath, expected: string): ConfigFinding => ({ severity: 'error', path, expected })
const warningAt = (path: FieldPath, expected: string): ConfigFinding => ({ severity: 'warning', path, expected })

/** Finds entries that repeat the identity of an earlier one; the finding describes what the earlier entry is called. */
const findRepeated = <T>(entries: readonly T[], identityOf: (entry: T) => string, describe: (entry: T, earlier: T, index: number) => ConfigFinding): readonly ConfigFinding[] => {
  const first = new Map<string, T>()
  return entries.flatMap((entry, index) => {
    const earlier = first.get(identityOf(entry))
    if (earlier === undefined) first.set(identityOf(entry), entry)
    return earlier === undefined ? [] : [describe(entry, earlier, index)]
  })
}

/** Names identify an entry in traffic splits, quotas, logs and metrics. */
const findRepeatedNames: ConfigRule = ({ routes, services, accounts = [] }) =>
  Object.entries({ routes, services, accounts }).flatMap(([list, entries]) =>
    findRepeated<{ readonly name: string }>(entries, ({ name }) => name, (_, earlier, index) => errorAt([list, index, 'name'], `a name that no earlier entry has (${earlier.name} is taken)`)))

const findUnmatchableRoutes: ConfigRule = ({ routes }) => [
  ...routes.flatMap(({ pathPrefix, host }, index) => [
    ...(pathPrefix.startsWith('/') && pathPrefix.endsWith('/') ? [] : [errorAt(['routes', index, 'pathPrefix'], 'a prefix that begins and ends with "/"; no request matches another one')]),
    ...(UNMATCHABLE_PREFIX.test(pathPrefix) ? [errorAt(['routes', index, 'pathPrefix'], 'a prefix without "//" at the begin, query, fragment, backslash or space; daemons refuse such requests')] : []),
    ...(UNMATCHABLE_HOST.test(host) ? [errorAt(['routes', index, 'host'], 'a host without port, scheme or path; no request matches another one')] : [])
  ]),
  // Of two routes with the same host and prefix, requests take the later one.
  ...findRepeated([...routes.entries()].reverse(), ([, { host, pathPrefix }]) => JSON.stringify([host, pathPrefix]),
    ([index], [, taking]) => errorAt(['routes', index, 'pathPrefix'], `a host and prefix that no later route has (${taking.name} takes all requests)`))
]

const findUnknownServices: ConfigRule = ({ routes, services }) => {
  const names = new Set(services.map(({ name }) => name))
  return routes.flatMap(({ weightedServices }, index) => weightedServices.flatMap(({ service }, position) =>
    names.has(service) ? [] : [errorAt(['routes', index, 'weightedServices', position, 'service'], `the name of a service of this configuration (there is no ${service})`)]))
}

const findUnusedServices: ConfigRule = ({ routes, services }) => {
  const used = new Set(routes.flatMap(({ weightedServices }) => weightedServices.map(({ service }) => service)))
  return services.flatMap(({ name }, index) => used.has(name) ? [] : [warningAt(['services', index, 'name'], `a service that a route uses (none uses ${name})`)])
}

const findContradictingRouteLimits: ConfigRule = ({ routes }) => routes.flatMap(({ timeoutMs, objectiveMs, weightedServices }, index) => [
  ...(timeoutMs < objectiveMs ? [errorAt(['routes', index, 'timeoutMs'], `at least the latency objective of ${objectiveMs} ms, not ${timeoutMs} ms`)] : []),
  ...(weightedServices.some(({ weight }) => weight > 0) ? [] : [errorAt(['routes', index, 'weightedServices'], 'an entry with a weight above 0')])
])

/** The daemon that looks up a key finds the first account that holds it. */
const findKeysHeldTwice: ConfigRule = ({ accounts = [] }) => {
  const held = accounts.flatMap(({ name, keys }, index) => keys.map((key, position) => ({ key, name, index, position })))
  return findRepeated(held, ({ key }) => key, ({ name, index, position }, earlier) =>
    errorAt(['accounts', index, 'keys', position], earlier.name === name ? 'a key that the account does not already hold' : `a key that no earlier account holds (${earlier.name} has it)`))
}

const findUnsendableKeys: ConfigRule = ({ accounts = [] }) => accounts.flatMap(({ keys }, index) => keys.flatMap((key, position) =>
  isBearerToken(key) ? [] : [errorAt(['accounts', index, 'keys', position], 'a key of 1 to 512 letters, digits or ._~+/- and then any number of =; daemons refuse requests with another one')]))

const findIneffectiveAccounts: ConfigRule = ({ accounts = [] }) => accounts.flatMap(({ keys, requestsPerSecond, burst }, index) => [
  ...(keys.length > 0 ? [] : [warningAt(['accounts', index, 'keys'], 'a key; without one no request belongs to the account')]),
  ...(requestsPerSecond > 0 && burst < 1 ? [warningAt(['accounts', index, 'burst'], 'a burst of at least 1 request where the rate is limited')] : []),
  ...(requestsPerSecond === 0 && burst > 0 ? [warningAt(['accounts', index, 'burst'], 'no burst where the rate is not limited; it has no effect')] : [])
])

const RULES: readonly ConfigRule[] = [
  findRepeatedNames, findUnmatchableRoutes, findUnknownServices, findUnusedServices, findContradictingRouteLimits, findKeysHeldTwice, findUnsendableKeys, findIneffectiveAccounts
]

/**
 * Finds entries of a configuration that can never take effect and limits that contradict each other.
 *
 * @param config - Configuration.
 * @returns Findings with paths in the decoded configuration; they never contain a key.
 */
export const checkGatewayConfig = (config: GatewayConfig): readonly ConfigFinding[] => RULES.flatMap(rule => rule(config))
