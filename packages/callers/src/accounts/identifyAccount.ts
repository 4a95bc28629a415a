import type { IncomingMessage } from 'node:http'
import type { AccountLimits, EnvironmentDocument } from '@lovagehoist/common'

/** A caller's account with its limits. */
export interface Account {
  readonly id: string
  readonly limits: AccountLimits
  readonly isListed: boolean
}

/** Id of the account shared by all callers without a listed account. */
const UNLISTED_ACCOUNT_ID = 'unlisted'

/**
 * Identifies the account of a request.
 *
 * @param document - Document in force.
 * @param request - Request of the caller.
 * @returns The account; undefined when the caller's account is not listed and the document refuses unlisted ones.
 */
export const identifyAccount = (document: EnvironmentDocument, request: IncomingMessage): Account | undefined => {
  const { header, entries, unlisted } = document.accounts
  const value = request.headers[header.toLowerCase()]
  const id = typeof value === 'string' ? value : undefined
  const limits = id !== undefined && Object.hasOwn(entries, id) ? entries[id] : undefined
  if (id !== undefined && limits !== undefined) return { id, limits, isListed: true }
  if (unlisted === 'refuse') return undefined
  return { id: UNLISTED_ACCOUNT_ID, limits: document.accounts.default, isListed: false }
}
