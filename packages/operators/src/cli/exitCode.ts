/** Exit codes of the command line; scripts rely on them. */
export const ExitCode = {
  ok: 0,
  /** The platform or a daemon could not be reached, or its answer is unknown. */
  unavailable: 1,
  /** The input (arguments, settings or document) has to be changed. */
  badInput: 2,
  /** Another operator's promotion won. */
  conflict: 3,
  /** The condition that the command waited for did not come about in time. */
  notInForce: 4
} as const

/** One of the exit codes. */
export type ExitCodeValue = typeof ExitCode[keyof typeof ExitCode]
