import type { IncomingMessage } from 'node:http'
import type polka from 'polka'
import type { JsonValue, PeerBus } from '@lovagehoist/common'
import type { AdminHandler } from './adminHandler.js'
import { sendJson } from './sendJson.js'

const CALL_TIMEOUT_MS = 5_000

/** What passing commands on to other daemons needs. */
export interface RelayOptions {
  readonly app: polka.Polka
  readonly guard: (handler: AdminHandler) => AdminHandler
  readonly paramOf: (request: IncomingMessage, name: string) => string
  readonly bus: PeerBus
  readonly dump: () => JsonValue
  readonly drain: () => JsonValue
}

/**
 * Adds the paths that act on another daemon, so that an operator needs the admin address of one daemon only.
 *
 * @param options - Paths, access rule and communication between daemons.
 */
export const addRelay = ({ app, guard, paramOf, bus, dump, drain }: RelayOptions): void => {
  const actions: Readonly<Record<string, () => JsonValue>> = { dump, drain }
  for (const [name, act] of Object.entries(actions)) bus.handle(`admin.${name}`, async () => act())
  const relay = (name: string, status: number): AdminHandler => guard(async (request, response) => {
    const instanceId = paramOf(request, 'id')
    if (instanceId === bus.self.instanceId) {
      sendJson(response, status, actions[name]?.() ?? null)
      return
    }
    const reply = await bus.call(instanceId, `admin.${name}`, null, CALL_TIMEOUT_MS)
    if (reply.isOk()) sendJson(response, status, reply.value)
    else sendJson(response, 502, { error: `${instanceId} gave no answer to this daemon: ${reply.error.message}` })
  })
  app.get('/instances/:id/dump', relay('dump', 200))
  app.post('/instances/:id/drain', relay('drain', 202))
}
