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

/** Failure of a call; `refused` means that the daemon answered with an error status. */
export interface AdminError {
  readonly kind: 'unreachable' | 'refused'
  readonly message: string
}

/** Client of the admin interfaces of daemons. */
export interface AdminClient {
  /** Ids of the instances whose admin addresses are known. */
  readonly instanceIds: readonly string[]
  /** Calls the daemon of one of these instances. */
  readonly call: (instanceId: string, call: AdminCall) => Promise<Result<JsonValue, AdminError>>
}

const RESPONSE_TIMEOUT_MS = 5_000

const readToken = async (file: string | undefined): Promise<string | undefined> =>
  file === undefined ? undefined : (await readFile(file, 'utf8')).trim()

const sendCall = async (url: string, call: AdminCall, token: string | undefined): Promise<Result<JsonValue, AdminError>> => {
  const headers = token === undefined ? {} : { authorization: `Bearer ${token}` }
  const response = await request(url, { method: call.method, headers, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS })
  const text = await response.body.text()
  if (response.statusCode >= 400) return err({ kind: 'refused', message: `${url} answered ${response.statusCode}: ${text}` })
  return ok(JSON.parse(text) as JsonValue)
}

/**
 * Creates a client of the admin interfaces of daemons.
 *
 * @param settings - Admin addresses and the file with the token.
 * @returns The client.
 */
export const createAdminClient = (settings: OperatorSettings): AdminClient => ({
  instanceIds: Object.keys(settings.admin),
  call: async (instanceId, call) => {
    const baseUrl = settings.admin[instanceId]
    if (baseUrl === undefined) return err({ kind: 'unreachable', message: `${instanceId} has no address under "admin"` })
    try {
      return await sendCall(`${baseUrl.replace(/\/$/, '')}${call.path}`, call, await readToken(settings.adminTokenFile))
    } catch (error) {
      const { code, message } = error as { readonly code?: string, readonly message?: string }
      return err({ kind: 'unreachable', message: `${instanceId} at ${baseUrl}: ${code ?? message ?? 'no answer'}` })
    }
  }
})
