import type { OutcomeKind } from '@lovagehoist/common'

/** What an outcome says, and about whom. */
export type Blame = 'target-works' | 'target-failed' | 'target-slow' | 'connection' | 'load' | 'path' | 'nobody'

/** Whom the end of a try speaks about. */
export const BLAME: Readonly<Record<OutcomeKind, Blame>> = {
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
  'zone-unreachable': 'path'
}
