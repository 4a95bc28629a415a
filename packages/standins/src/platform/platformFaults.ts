/** Faults that the platform stand-in can inject; all are off at the start. */
export interface PlatformFaults {
  /** Answers every call to the table service and the object store with 503. */
  readonly isDown: boolean
  /** Answers directory reads with 503. */
  readonly isDirectoryDown: boolean
  /** Delay added to every response. */
  readonly delayMs: number
  /** Share of transactions that are applied although their response is dropped, 0 to 1. */
  readonly lostAnswerShare: number
  /** Replication lag of reads that do not ask for fresh data. */
  readonly replicaLagMs: number
  /** Time until a directory update becomes visible to readers. */
  readonly directoryLagMs: number
}

/** A platform without faults. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  isDown: false,
  isDirectoryDown: false,
  delayMs: 0,
  lostAnswerShare: 0,
  replicaLagMs: 0,
  directoryLagMs: 0
}
