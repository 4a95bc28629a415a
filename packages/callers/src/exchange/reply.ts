import type { RunVerdict } from '@lovagehoist/common'
import type { Problem } from '../answers/problem.js'
import type { ReadyAnswer } from './heldAnswer.js'

/** What the caller is to get. */
export type Reply =
  | { readonly type: 'answer', readonly answer: ReadyAnswer }
  | { readonly type: 'problem', readonly problem: Problem }

/**
 * Makes a reply of the fleet's own.
 *
 * @param problem - Why the request has no answer of a target.
 * @returns The reply.
 */
export const problemReply = (problem: Problem): Reply => ({ type: 'problem', problem })

/**
 * Tells what a reply says about running.
 *
 * @param reply - Reply.
 * @returns Its verdict.
 */
export const verdictOf = (reply: Reply): RunVerdict => reply.type === 'answer' ? 'ran' : reply.problem.verdict
