import type { RunVerdict } from '@lovagehoist/common'
import type { Problem } from '../responses/problem.js'
import type { BufferedResponse } from './bufferResponse.js'

/** Reply for the caller: a target's response, or a problem reported by the fleet itself. */
export type Reply =
  | { readonly type: 'answer', readonly response: BufferedResponse }
  | { readonly type: 'problem', readonly problem: Problem }

/**
 * Creates a reply that reports a problem.
 *
 * @param problem - Reason why there is no response of a target.
 * @returns The reply.
 */
export const problemReply = (problem: Problem): Reply => ({ type: 'problem', problem })

/**
 * Returns whether the request was executed, as far as the reply tells.
 *
 * @param reply - Reply.
 * @returns Its verdict.
 */
export const verdictOf = (reply: Reply): RunVerdict => reply.type === 'answer' ? 'ran' : reply.problem.verdict
