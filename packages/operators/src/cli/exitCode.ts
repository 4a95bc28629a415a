/** Exit codes of the command line; scripts rely on them. */
export const ExitCode = {
  ok: 0,
  /** The platform or a daemon did not respond, or the outcome is unknown. */
  unavailable: 1,
  /** The input (arguments, settings or document) has to be changed. */
  badInput: 2,
  /** Another promotion was accepted first, or the version to replace is no longer the current one. */
  conflict: 3,
  /** The document is accepted by the table, but it is not known to be in force on every instance. */
  notInForce: 4
} as const

/** One of the exit codes. */
export type ExitCodeValue = typeof ExitCode[keyof typeof ExitCode]

/** Description of the exit codes for the help text. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  the platform or a daemon gave no answer, or the outcome is unknown
  2  arguments, settings or document have to be changed; the message says what
  3  another promotion won, or the version seen is no longer there; the message says whose
  4  accepted by the table, but not known to be in force on every instance in time`
