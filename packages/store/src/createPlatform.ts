import { SeededRandom } from '@lovagehoist/common'
import type { Clock, Platform, Random, Settings } from '@lovagehoist/common'
import type { Registry } from 'prom-client'
import { Agent } from 'undici'
import type { CallOptions } from './call/callPlatform.js'
import { DirectoryClient } from './directory/directoryClient.js'
import { PlatformMetrics } from './guard/platformMetrics.js'
import type { ServiceName } from './guard/platformMetrics.js'
import { ServiceGuard } from './guard/serviceGuard.js'
import { ObjectClient } from './objects/objectClient.js'
import { TableClient } from './table/tableClient.js'

/** Limit of one call to the platform; a service that takes longer counts as down. */
const CALL_TIMEOUT_MS = 2_000
const CONNECTIONS = 4
const MAX_WAITING = 200
const DEFAULT_SEED = 1
/** Calls that run at once. */
const CONCURRENCY: Readonly<Record<ServiceName, number>> = { table: 4, objects: 2, directory: 1 }

/** Clients of the platform together with their connections. */
export interface PlatformClients extends Platform {
  /** Closes the connections. */
  readonly close: () => Promise<void>
}

/** What a daemon gives the clients besides addresses and time. */
export interface PlatformExtras {
  /** Spreads the tries of many daemons after an outage; a seed of its own for each process. */
  readonly random?: Random
  readonly registry?: Registry | undefined
}

/**
 * Creates the clients of the platform, each service behind a circuit and bounds of its own.
 *
 * @param urls - Addresses from the settings.
 * @param clock - Source of time.
 * @param extras - Randomness and registry of a daemon.
 * @returns The clients.
 */
export const createPlatform = (urls: Settings['platform'], clock: Clock, extras: PlatformExtras = {}): PlatformClients => {
  const dispatcher = new Agent({ connections: CONNECTIONS, pipelining: 1 })
  const random = extras.random ?? SeededRandom.create(DEFAULT_SEED)
  const metrics = PlatformMetrics.create(extras.registry)
  const optionsOf = (service: ServiceName): CallOptions => ({
    clock,
    dispatcher,
    timeoutMs: CALL_TIMEOUT_MS,
    guard: ServiceGuard.create({ service, clock, random, metrics, concurrency: CONCURRENCY[service], maxWaiting: MAX_WAITING })
  })
  return {
    table: TableClient.create(urls.tableUrl, optionsOf('table')),
    objects: ObjectClient.create(urls.objectsUrl, optionsOf('objects')),
    directory: DirectoryClient.create(urls.directoryUrl, optionsOf('directory')),
    close: async () => { await dispatcher.destroy() }
  }
}
