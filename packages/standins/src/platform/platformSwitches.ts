/** Faults that the platform stand-in can show; all off at the start. */
export interface PlatformSwitches {
  /** Refuses every call to the table and the object store. */
  readonly isDown: boolean
  /** Refuses to list instances. */
  readonly isDirectoryDown: boolean
  /** Time added to every answer. */
  readonly delayMs: number
  /** Share of writes that take effect while the answer is lost, 0 to 1. */
  readonly lostAnswerShare: number
  /** Age of the state that reads show unless they ask for the fresh one. */
  readonly replicaLagMs: number
  /** Age of the list of instances. */
  readonly directoryLagMs: number
}

/** Switches of a platform that works. */
export const PLATFORM_SWITCHES_OFF: PlatformSwitches = {
  isDown: false,
  isDirectoryDown: false,
  delayMs: 0,
  lostAnswerShare: 0,
  replicaLagMs: 0,
  directoryLagMs: 0
}
