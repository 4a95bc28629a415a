import type { IncomingMessage } from 'node:http'
import type polka from 'polka'
import type { JsonValue, PeerBus } from '@lovagehoist/common'
import type { AdminHandler } from './adminHandler.js'
import { sendJson } from './sendJson.js'

const CALL_TIMEOUT_MS = 5_000

/** Application, access check and actions of the forwarding routes. */
export interface ForwardRoutesOptions {
  readonly app: polka.Polka
  readonly requireAccess: (handler: AdminHandler) => AdminHandler
  readonly pathParamOf: (request: IncomingMessage, name: string) => string
  readonly bus: PeerBus
  readonly dump: () => JsonValue
  readonly drain: () => JsonValue
}

/**
 * Adds the routes that forward commands to another daemon, so that an operator needs the admin address of only one daemon.
 *
 * @param options - Application, access check, messages between daemons and actions.
 */
export const addForwardRoutes = ({ app, requireAccess, pathParamOf, bus, dump, drain }: ForwardRoutesOptions): void => {
  const actions: Readonly<Record<string, () => JsonValue>> = { dump, drain }
  for (const [name, action] of Object.entries(actions)) bus.handle(`admin.${name}`, async () => action())
  const forward = (name: string, status: number): AdminHandler => requireAccess(async (request, response) => {
    const instanceId = pathParamOf(request, 'id')
    if (instanceId === bus.self.instanceId) {
      sendJson(response, status, actions[name]?.() ?? null)
      return
    }
    const result = await bus.call(instanceId, `admin.${name}`, null, CALL_TIMEOUT_MS)
    if (result.isOk()) sendJson(response, status, result.value)
    else sendJson(response, 502, { error: `${instanceId} gave no answer to this daemon: ${result.error.message}` })
  })
  app.get('/instances/:id/dump', forward('dump', 200))
  app.post('/instances/:id/drain', forward('drain', 202))
}
