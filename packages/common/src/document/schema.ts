import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of lower-case letters, digits and hyphens, at most 63')
const headerName = z.string().regex(/^[A-Za-z0-9-]{1,64}$/, 'a header name')
const durationMs = z.int('a whole number of milliseconds').min(1, 'at least 1 ms').max(86_400_000, 'at most one day in milliseconds')
const bytes = z.int('a whole number of bytes').min(0, 'at least 0 bytes').max(1_073_741_824, 'at most 1 GiB')
const count = (min: number, max: number) => z.int('a whole number').min(min, `at least ${min}`).max(max, `at most ${max}`)
const share = z.number('a number').min(0, 'at least 0').max(1, 'at most 1')

const accountLimits = z.strictObject({
  /** Maximum number of requests of the account in progress at one instance. */
  maxInFlight: count(1, 100_000).default(64),
  /** Weight of the account when a service's capacity is shared under overload. */
  weight: count(1, 1_000).default(10)
}).readonly()

const accounts = z.strictObject({
  /** Header that names the caller's account. */
  header: headerName.default('Lovagehoist-Account'),
  /** Handling of requests whose account is missing or not listed: refuse them, or apply the default limits. */
  unlisted: z.enum(['refuse', 'limit'], '"refuse" or "limit"').default('limit'),
  default: accountLimits.prefault({}),
  entries: z.record(z.string().min(1).max(128), accountLimits).default({})
}).readonly()

const responseMatcher = z.strictObject({
  status: count(400, 599),
  header: headerName
}).readonly()

const service = z.strictObject({
  /** Planned number of targets of the service. */
  plannedTargets: count(1, 10_000),
  /** Requests that one target runs concurrently. */
  slotsPerTarget: count(1, 10_000),
  /** Capacity that ejections must leave in service, in slots. */
  floorSlots: count(0, 10_000_000),
  /** Connections that one target accepts from the whole fleet. */
  connectionsPerTarget: count(1, 100_000),
  /** Trade-off of health detection: `fast` avoids slow detection, `careful` avoids false ejections. */
  profile: z.enum(['fast', 'careful'], '"fast" or "careful"').default('careful'),
  connectTimeoutMs: durationMs.default(1_000),
  /** Timeout of one attempt from sending the request to the response head. */
  headTimeoutMs: durationMs.default(5_000),
  bodyIdleTimeoutMs: durationMs.default(5_000),
  /** Slow start: time over which a new target's load rises to its full share. */
  coldStartMs: durationMs.default(10_000),
  /** Retry budget, as a ratio of retries to first attempts. */
  retryBudgetShare: share.default(0.1),
  /** Maximum number of requests queued at one instance. */
  maxQueued: count(0, 100_000).default(256),
  /** Response by which a target signals that it rejected a request without running it. */
  shedAnswer: responseMatcher.optional(),
  /** Response header by which a target signals that it is leaving. */
  drainHeader: headerName.optional()
}).readonly()

const route = z.strictObject({
  id: name,
  /** Host that the route matches; absent to match any host. */
  host: z.string().min(1).max(253).optional(),
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'], 'an HTTP method')).min(1, 'at least one method').readonly(),
  /** Path pattern: `/burns/:id`, or `/files/*` for everything below. */
  path: z.string().regex(/^\//, 'a path that begins with "/"').max(512),
  service: name,
  /** Whether running a request twice is harmless; only then may it be retried after it may have run. */
  isIdempotent: z.boolean('true or false').default(false),
  /** Header with the request's idempotency key; requests with a key run at most once across the fleet. */
  keyHeader: headerName.optional(),
  /** Handling of requests with a key while the table service is unavailable. */
  keyOutage: z.enum(['refuse', 'send-once'], '"refuse" or "send-once"').default('refuse'),
  /** Time for which a key is kept. */
  keyLifetimeMs: durationMs.default(86_400_000),
  priority: z.enum(['payment', 'normal', 'background'], '"payment", "normal" or "background"').default('normal'),
  /** Timeout of the whole request when the caller gives none. */
  timeoutMs: durationMs.default(10_000),
  maxRequestBytes: bytes.default(1_048_576),
  /** Maximum size of a response to an idempotent request that is buffered until it is complete. */
  heldAnswerBytes: bytes.default(262_144)
}).readonly()

const event = z.strictObject({
  id: name,
  services: z.array(name).min(1, 'at least one service').readonly(),
  /** Local start time, as `HH:MM`. */
  startsAt: z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'a time of day as "HH:MM"'),
  /** IANA time zone, such as `Europe/Budapest`. */
  timeZone: z.string().min(1).max(64),
  /** Days of the week, 0 for Sunday; empty for every day. */
  weekdays: z.array(count(0, 6)).readonly().default([]),
  /** Day of the month; absent for every day. */
  monthday: count(1, 31).optional(),
  /** Time before the start at which connections are opened in advance. */
  leadMs: durationMs.default(120_000),
  durationMs: durationMs.default(3_600_000)
}).readonly()

/** Schema of the document of an environment, the configuration that operators promote. */
export const documentSchema = z.strictObject({
  schemaVersion: z.literal(1, 'the number 1'),
  /** Name of the deployment. */
  deployment: name,
  accounts: accounts.prefault({}),
  /** Header in which callers give the time for which they will wait, in milliseconds. */
  deadlineHeader: headerName.default('Lovagehoist-Timeout-Ms'),
  services: z.record(name, service),
  routes: z.array(route).max(50_000).readonly(),
  events: z.array(event).readonly().default([]),
  /** Services of the previous document that this one removes intentionally. */
  removedServices: z.array(name).readonly().default([])
}).readonly()

/** The document of an environment: services, routes, accounts and events. */
export type EnvironmentDocument = z.infer<typeof documentSchema>
/** A service of the document. */
export type ServiceConfig = z.infer<typeof service>
/** A route of the document. */
export type RouteConfig = z.infer<typeof route>
/** A scheduled event with high load, for which connections are opened in advance. */
export type EventConfig = z.infer<typeof event>
/** Limits of a client account. */
export type AccountLimits = z.infer<typeof accountLimits>
