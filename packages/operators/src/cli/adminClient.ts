import { readFile } from 'node:fs/promises'
import type { JsonValue } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import type { OperatorSettings } from './operatorSettings.js'

/** A call to the admin interface of a daemon. */
export interface AdminCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
}

/** Failure of a call; `refused` means that the daemon answered and refused. */
export interface AdminError {
  readonly kind: 'unreachable' | 'refused'
  readonly message: string
}

/** Reaches the admin interfaces of daemons. */
export interface AdminClient {
  /** Ids of the daemons whose addresses are known. */
  readonly instanceIds: readonly string[]
  /** Calls one of these daemons. */
  readonly call: (instanceId: string, call: AdminCall) => Promise<Result<JsonValue, AdminError>>
}

const TIMEOUT_MS = 5_000

const readToken = async (file: string | undefined): Promise<string | undefined> =>
  file === undefined ? undefined : (await readFile(file, 'utf8')).trim()

const exchange = async (url: string, call: AdminCall, token: string | undefined): Promise<Result<JsonValue, AdminError>> => {
  const headers = token === undefined ? {} : { authorization: `Bearer ${token}` }
  const reply = await request(url, { method: call.method, headers, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
  const text = await reply.body.text()
  if (reply.statusCode >= 400) return err({ kind: 'refused', message: `${url} answered ${reply.statusCode}: ${text}` })
  return ok(JSON.parse(text) as JsonValue)
}

/**
 * Creates a client of the admin interfaces.
 *
 * @param settings - Addresses and the file with the token.
 * @returns The client.
 */
export const createAdminClient = (settings: OperatorSettings): AdminClient => ({
  instanceIds: Object.keys(settings.admin),
  call: async (instanceId, call) => {
    const baseUrl = settings.admin[instanceId]
    if (baseUrl === undefined) return err({ kind: 'unreachable', message: `${instanceId} has no address under "admin"` })
    try {
      return await exchange(`${baseUrl.replace(/\/$/, '')}${call.path}`, call, await readToken(settings.adminTokenFile))
    } catch (error) {
      const { code, message } = error as { readonly code?: string, readonly message?: string }
      return err({ kind: 'unreachable', message: `${instanceId} at ${baseUrl}: ${code ?? message ?? 'no answer'}` })
    }
  }
})
