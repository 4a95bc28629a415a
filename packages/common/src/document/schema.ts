import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of lower-case letters, digits and hyphens, at most 63')
const headerName = z.string().regex(/^[A-Za-z0-9-]{1,64}$/, 'a header name')
const durationMs = z.int('a whole number of milliseconds').min(1, 'at least 1 ms').max(86_400_000, 'at most one day in milliseconds')
const bytes = z.int('a whole number of bytes').min(0, 'at least 0 bytes').max(1_073_741_824, 'at most 1 GiB')
const count = (min: number, max: number) => z.int('a whole number').min(min, `at least ${min}`).max(max, `at most ${max}`)
const share = z.number('a number').min(0, 'at least 0').max(1, 'at most 1')

const accountLimits = z.strictObject({
  /** Requests of the account in progress at one instance. */
  maxInFlight: count(1, 100_000).default(64),
  /** Relative share of a service's admission when it is short. */
  weight: count(1, 1_000).default(10)
}).readonly()

const accounts = z.strictObject({
  /** Header that names the caller's account. */
  header: headerName.default('Lovagehoist-Account'),
  /** What to do with a request that names no listed account. */
  unlisted: z.enum(['refuse', 'limit'], '"refuse" or "limit"').default('limit'),
  default: accountLimits.prefault({}),
  entries: z.record(z.string().min(1).max(128), accountLimits).default({})
}).readonly()

const responseMatcher = z.strictObject({
  status: count(400, 599),
  header: headerName
}).readonly()

const service = z.strictObject({
  /** Targets that the service is planned with. */
  plannedTargets: count(1, 10_000),
  /** Requests that one target runs at once. */
  slotsPerTarget: count(1, 10_000),
  /** Healthy capacity that ejection must leave, in slots. */
  floorSlots: count(0, 10_000_000),
  /** Connections that one target accepts from the whole fleet. */
  connectionsPerTarget: count(1, 100_000),
  /** Which error to avoid first: slow detection (`fast`) or false ejection (`careful`). */
  profile: z.enum(['fast', 'careful'], '"fast" or "careful"').default('careful'),
  connectTimeoutMs: durationMs.default(1_000),
  /** Limit of one try from sending to the answer's head. */
  headTimeoutMs: durationMs.default(5_000),
  bodyIdleTimeoutMs: durationMs.default(5_000),
  /** Time in which a new target grows to its full share. */
  coldStartMs: durationMs.default(10_000),
  /** Retries as a share of first tries. */
  retryBudgetShare: share.default(0.1),
  /** Requests waiting at one instance. */
  maxQueued: count(0, 100_000).default(256),
  /** Answer by which a target says that it refused a request before running it. */
  shedAnswer: responseMatcher.optional(),
  /** Header by which any answer says that the target is leaving. */
  drainHeader: headerName.optional()
}).readonly()

const route = z.strictObject({
  id: name,
  /** Host that the route is limited to; absent for any host. */
  host: z.string().min(1).max(253).optional(),
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'], 'an HTTP method')).min(1, 'at least one method').readonly(),
  /** Path pattern: `/burns/:id`, or `/files/*` for everything below. */
  path: z.string().regex(/^\//, 'a path that begins with "/"').max(512),
  service: name,
  /** Whether running the request twice is harmless; only then is it repeated. */
  isIdempotent: z.boolean('true or false').default(false),
  /** Header whose value names the request for at-most-once across the fleet. */
  keyHeader: headerName.optional(),
  /** What to do with a keyed request while the table service is out. */
  keyOutage: z.enum(['refuse', 'send-once'], '"refuse" or "send-once"').default('refuse'),
  /** Time for which a key is remembered. */
  keyLifetimeMs: durationMs.default(86_400_000),
  priority: z.enum(['payment', 'normal', 'background'], '"payment", "normal" or "background"').default('normal'),
  /** Limit of the whole exchange when the caller names none. */
  timeoutMs: durationMs.default(10_000),
  maxRequestBytes: bytes.default(1_048_576),
  /** Longest idempotent answer that is held until it is whole. */
  heldAnswerBytes: bytes.default(262_144)
}).readonly()

const event = z.strictObject({
  id: name,
  services: z.array(name).min(1, 'at least one service').readonly(),
  /** Local start, as `HH:MM`. */
  startsAt: z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'a time of day as "HH:MM"'),
  /** IANA time zone, such as `Europe/Budapest`. */
  timeZone: z.string().min(1).max(64),
  /** Days of the week, 0 for Sunday; empty for every day. */
  weekdays: z.array(count(0, 6)).readonly().default([]),
  /** Day of the month; absent for every day. */
  monthday: count(1, 31).optional(),
  /** Time before the start in which connections are opened. */
  leadMs: durationMs.default(120_000),
  durationMs: durationMs.default(3_600_000)
}).readonly()

/** Schema of the document of an environment. */
export const documentSchema = z.strictObject({
  schemaVersion: z.literal(1, 'the number 1'),
  /** Name of the deployment. */
  deployment: name,
  accounts: accounts.prefault({}),
  /** Header in which callers give the time they will wait, in milliseconds. */
  deadlineHeader: headerName.default('Lovagehoist-Timeout-Ms'),
  services: z.record(name, service),
  routes: z.array(route).max(50_000).readonly(),
  events: z.array(event).readonly().default([]),
  /** Services that the previous document had and that this one removes on purpose. */
  removedServices: z.array(name).readonly().default([])
}).readonly()

/** The document of an environment: services, routes, accounts and events. */
export type EnvironmentDocument = z.infer<typeof documentSchema>
/** One service of the document. */
export type ServiceConfig = z.infer<typeof service>
/** One route of the document. */
export type RouteConfig = z.infer<typeof route>
/** One busy event of the document. */
export type EventConfig = z.infer<typeof event>
/** Limits of a caller's account. */
export type AccountLimits = z.infer<typeof accountLimits>
