/** Point of an exchange at which a target closes the connection. */
export type DisconnectPoint = 'after-accept' | 'after-head' | 'mid-body' | 'after-body' | 'after-run' | 'after-status' | 'mid-answer' | 'before-last-byte'

/** Behaviour of a target stand-in; can be changed at any time. */
export interface TargetBehaviour {
  /** Number of requests run concurrently; further ones are queued. */
  readonly slots: number
  /** Number of requests that may wait for a slot; beyond it the target sheds load. */
  readonly maxWaiting: number
  /** Time to run one request; the header `x-work-ms` overrides it. */
  readonly workMs: number
  /** Duration of the cold start, in which requests take longer. */
  readonly coldMs: number
  /** Factor of the run time in the cold start. */
  readonly coldFactor: number
  /** Share of requests other than probes that fail with 500, 0 to 1. */
  readonly failShare: number
  /** Share of requests other than probes that are never answered, 0 to 1. */
  readonly stallShare: number
  /** Share of requests other than probes that take ten times as long, 0 to 1. */
  readonly spikeShare: number
  /** Share of requests, or of connections for `after-accept`, at which the target closes the connection, 0 to 1. */
  readonly breakShare: number
  /** Point at which it closes the connection. */
  readonly breakAt: DisconnectPoint
  /** Length of the alternating phases without and with the effect of `failShare` and `stallShare`; 0 for lasting effect. */
  readonly flapMs: number
  /** Refuses new requests with the shed response and announces the drain in a header. */
  readonly isDraining: boolean
  /** Connections that exist when this is set get no more responses; new ones work. */
  readonly isSilent: boolean
  /** Whether health probes succeed, independent of other requests. */
  readonly isProbeHealthy: boolean
  /** A request whose body contains this text stops the target; empty for none. */
  readonly poison: string
}

/** A target without faults. */
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
