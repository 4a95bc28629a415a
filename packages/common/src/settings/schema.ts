import { isIP } from 'node:net'
import { z } from 'zod'

const ipAddress = z.string().refine(text => isIP(text) !== 0, 'an IP address')
const port = z.int('a port number').min(0, 'at least 0').max(65_535, 'at most 65535')
const address = z.strictObject({ host: ipAddress, port }).readonly()
const durationMs = z.int('a whole number of milliseconds').min(0, 'at least 0 ms').max(86_400_000, 'at most one day in milliseconds')
const bytes = z.int('a whole number of bytes').min(1, 'at least 1 byte')
const file = z.string().min(1, 'a path of a file')
const baseUrl = z.url('an http:// or https:// address')

const instance = z.strictObject({
  id: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'a name of lower-case letters, digits, dots and hyphens, at most 63'),
  region: z.string().min(1, 'the name of a region'),
  availabilityZone: z.string().min(1, 'the name of an availability zone')
}).readonly()

const admin = z.strictObject({
  host: ipAddress,
  port,
  /** File with the bearer token required for changes and state dumps; when absent, only loopback callers are allowed. */
  tokenFile: file.optional()
}).readonly()

const peers = z.strictObject({
  host: ipAddress,
  port,
  /** Address announced to other daemons, if it differs from the listening address. */
  advertised: address.optional(),
  /** Files with the fleet's certificate authority and this daemon's certificate and key, in PEM; absent for plain HTTP. */
  tls: z.strictObject({ caFile: file, certFile: file, keyFile: file }).readonly().optional(),
  /** Limit of the traffic sent to peers, in bytes per second, averaged over ten seconds. */
  budgetBytesPerSecond: z.int().min(1_000, 'at least 1000').default(18_000)
}).readonly()

const limits = z.strictObject({
  maxHeadBytes: bytes.default(16_384),
  /** Timeout for receiving the head of a caller's request. */
  headTimeoutMs: durationMs.default(10_000),
  /** Timeout for receiving a caller's whole request. */
  requestTimeoutMs: durationMs.default(60_000),
  maxConnections: z.int().min(1, 'at least 1').default(20_000)
}).readonly()

const drain = z.strictObject({
  /** Time for which an instance accepts requests after it reports unready, until the load balancer has noticed. */
  balancerLagMs: durationMs.default(5_000),
  /** Time after which remaining requests are aborted. */
  longestExchangeMs: durationMs.default(60_000)
}).readonly()

const mechanisms = z.strictObject({
  /** `shared` uses evidence from all daemons; `alone` ejects after consecutive failures seen by this daemon only. */
  health: z.enum(['shared', 'alone'], '"shared" or "alone"').default('shared'),
  /** How daemons divide the slots of targets; the values other than `shared` exist for comparison with it. */
  slots: z.enum(['shared', 'learned', 'counted', 'least-loaded', 'two-choices'], '"shared", "learned", "counted", "least-loaded" or "two-choices"')
    .default('shared'),
  /** `off` disables all communication between daemons. */
  control: z.enum(['on', 'off'], '"on" or "off"').default('on')
}).readonly()

/** Schema of a daemon's settings file. */
export const settingsSchema = z.strictObject({
  instance,
  /** Name of the environment whose promoted document this daemon follows. */
  environment: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of lower-case letters, digits and hyphens, at most 63'),
  callers: address,
  admin,
  peers,
  platform: z.strictObject({
    tableUrl: baseUrl,
    objectsUrl: baseUrl,
    directoryUrl: baseUrl
  }).readonly(),
  limits: limits.prefault({}),
  drain: drain.prefault({}),
  log: z.strictObject({
    level: z.enum(['error', 'warn', 'info', 'debug'], '"error", "warn", "info" or "debug"').default('info'),
    format: z.enum(['json', 'pretty'], '"json" or "pretty"').default('json')
  }).readonly().prefault({}),
  mechanisms: mechanisms.prefault({})
}).readonly()

/** Settings of one daemon. */
export type Settings = z.infer<typeof settingsSchema>
