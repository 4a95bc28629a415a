import type { Clock, Platform, Settings } from '@lovagehoist/common'
import { Agent } from 'undici'
import { DirectoryClient } from './directory/directoryClient.js'
import { ObjectClient } from './objects/objectClient.js'
import { TableClient } from './table/tableClient.js'

/** Limit of one call to the platform. */
const CALL_TIMEOUT_MS = 2_000
const CONNECTIONS = 4

/** Clients of the platform together with their connections. */
export interface PlatformClients extends Platform {
  /** Closes the connections. */
  readonly close: () => Promise<void>
}

/**
 * Creates the clients of the platform.
 *
 * @param urls - Addresses from the settings.
 * @param clock - Source of time.
 * @returns The clients.
 */
export const createPlatform = (urls: Settings['platform'], clock: Clock): PlatformClients => {
  const dispatcher = new Agent({ connections: CONNECTIONS, pipelining: 1 })
  const options = { clock, dispatcher, timeoutMs: CALL_TIMEOUT_MS }
  return {
    table: TableClient.create(urls.tableUrl, options),
    objects: ObjectClient.create(urls.objectsUrl, options),
    directory: DirectoryClient.create(urls.directoryUrl, options),
    close: async () => { await dispatcher.destroy() }
  }
}
