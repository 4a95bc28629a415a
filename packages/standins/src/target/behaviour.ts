/** Point of an exchange at which a target cuts the connection. */
export type BreakPoint = 'after-accept' | 'after-head' | 'mid-body' | 'after-body' | 'after-run' | 'after-status' | 'mid-answer' | 'before-last-byte'

/** How a target stand-in behaves; can be changed at any time. */
export interface TargetBehaviour {
  /** Requests run at once; more wait, and beyond the wait limit are shed. */
  readonly slots: number
  /** Requests that wait for a slot before the target sheds. */
  readonly maxWaiting: number
  /** Time to run one request, unless the request names its own. */
  readonly workMs: number
  /** Time after the start in which work takes longer, and by what factor. */
  readonly coldMs: number
  readonly coldFactor: number
  /** Share of real work that fails with 500, 0 to 1. */
  readonly failShare: number
  /** Share of real work that never answers, 0 to 1. */
  readonly stallShare: number
  /** Share of real work that takes ten times as long, 0 to 1. */
  readonly spikeShare: number
  /** Share of work at which the connection is cut, and where. */
  readonly breakShare: number
  readonly breakAt: BreakPoint
  /** Alternates between well and sick with this period; 0 for never. */
  readonly flapMs: number
  /** Refuses new work with the shed answer and says that it is leaving. */
  readonly isDraining: boolean
  /** Existing connections stop answering, new ones work. */
  readonly isSilent: boolean
  /** Answers probes although real work fails. */
  readonly isProbeHealthy: boolean
  /** A request whose body contains this text takes the target down; empty for none. */
  readonly poison: string
}

/** A target that works. */
export const HEALTHY_BEHAVIOUR: TargetBehaviour = {
  slots: 6,
  maxWaiting: 6,
  workMs: 5,
  coldMs: 0,
  coldFactor: 1,
  failShare: 0,
  stallShare: 0,
  spikeShare: 0,
  breakShare: 0,
  breakAt: 'after-run',
  flapMs: 0,
  isDraining: false,
  isSilent: false,
  isProbeHealthy: true,
  poison: ''
}
