import { SeededRandom } from '@lovagehoist/common'
import type { Clock, Platform, Random, Settings } from '@lovagehoist/common'
import type { Registry } from 'prom-client'
import { Agent } from 'undici'
import type { CallOptions } from './call/callPlatform.js'
import { DirectoryClient } from './directory/directoryClient.js'
import { PlatformMetrics } from './limiter/platformMetrics.js'
import type { ServiceName } from './limiter/platformMetrics.js'
import { ServiceCallLimiter } from './limiter/serviceCallLimiter.js'
import { ObjectClient } from './objects/objectClient.js'
import { TableClient } from './table/tableClient.js'

/** Timeout of one call; a service that takes longer counts as unavailable. */
const CALL_TIMEOUT_MS = 2_000
const MAX_CONNECTIONS = 4
const MAX_QUEUED_CALLS = 200
const DEFAULT_SEED = 1
/** Maximum number of concurrent calls. */
const CONCURRENCY: Readonly<Record<ServiceName, number>> = { table: 4, objects: 2, directory: 1 }

/** Clients of the platform, which share their connections. */
export interface PlatformClients extends Platform {
  /** Closes the connections. */
  readonly close: () => Promise<void>
}

/** Optional dependencies of the clients. */
export interface PlatformOptions {
  /** Jitter that spreads the retries of many daemons after an outage; must be seeded differently in each process. */
  readonly random?: Random
  /** Registry for the metrics of calls; absent to discard them. */
  readonly registry?: Registry | undefined
}

/**
 * Creates the clients of the platform; each service has its own circuit breaker and concurrency limit.
 *
 * @param urls - Base URLs from the settings.
 * @param clock - Source of time.
 * @param options - Randomness and metrics registry.
 * @returns The clients.
 */
export const createPlatform = (urls: Settings['platform'], clock: Clock, options: PlatformOptions = {}): PlatformClients => {
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 })
  const random = options.random ?? SeededRandom.create(DEFAULT_SEED)
  const metrics = PlatformMetrics.create(options.registry)
  const callOptionsOf = (service: ServiceName): CallOptions => ({
    clock,
    dispatcher,
    timeoutMs: CALL_TIMEOUT_MS,
    limiter: ServiceCallLimiter.create({ service, clock, random, metrics, concurrency: CONCURRENCY[service], maxQueued: MAX_QUEUED_CALLS })
  })
  return {
    table: TableClient.create(urls.tableUrl, callOptionsOf('table')),
    objects: ObjectClient.create(urls.objectsUrl, callOptionsOf('objects')),
    directory: DirectoryClient.create(urls.directoryUrl, callOptionsOf('directory')),
    close: async () => { await dispatcher.destroy() }
  }
}
