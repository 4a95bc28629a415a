import type { OutcomeKind } from '@lovagehoist/common'

/** Component that the outcome of an attempt is attributed to; `nobody` if it says nothing about any. */
export type Attribution = 'target-works' | 'target-failed' | 'target-slow' | 'connection' | 'load' | 'path' | 'nobody'

/** Attribution of each outcome of an attempt. */
export const OUTCOME_ATTRIBUTION: Readonly<Record<OutcomeKind, Attribution>> = {
  ok: 'target-works',
  refused: 'target-failed',
  reset: 'target-failed',
  timeout: 'target-failed',
  'broken-answer': 'target-failed',
  'server-error': 'target-failed',
  slow: 'target-slow',
  shed: 'load',
  'caller-fault': 'nobody',
  cancelled: 'nobody',
  'deadline-too-short': 'nobody',
  poison: 'nobody',
  'silent-connection': 'connection',
  withdrawn: 'nobody',
  'zone-unreachable': 'path'
}
