import { murmurHash } from '@lovagehoist/common'
import type { CapacityView, Clock, Log, Random, ServiceRoom } from '@lovagehoist/common'
import { admittedShare, drainTimeMs, shortageLevelOf } from './shortageLevel.js'
import type { ShortageLevel, ShortageRequest } from './shortageLevel.js'
import type { ShortageMetrics } from './shortageMetrics.js'

/** A request before it is sent to a target. */
export interface ShortageCandidate extends Omit<ShortageRequest, 'objectiveLeftMs'> {
  readonly requestId: string
  readonly service: string
  /** Monotonic time at which the daemon received the request. */
  readonly receivedAtMs: number
  /** Latency objective of the request. */
  readonly objectiveMs: number
}

/** Whether a request may be sent to a target now. */
export type ShortageDecision =
  | { readonly type: 'admitted' }
  | { readonly type: 'refused', readonly retryDelayMs: number }

/** Decides before each attempt whether the request may be sent to a target now. */
export interface ShortageGate {
  readonly decide: (candidate: ShortageCandidate) => ShortageDecision
}

/** Dependencies of the admission. */
export interface ShortageAdmissionOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly capacity: CapacityView
  readonly metrics: ShortageMetrics
}

/** What decided a refusal. */
interface RefusalInputs {
  readonly room: ServiceRoom
  readonly level: ShortageLevel
  readonly request: ShortageRequest
  readonly share: number
  readonly retryDelayMs: number
}

interface ServiceState {
  /** Service time while nothing waited, which the mean latency of busy targets exceeds. */
  idleServiceTimeMs: number | undefined
  isShort: boolean
  lastRefusedAtMs: number
}

/** Time for which a decision about one request id holds, so that repeating it at once does not change it. */
const DECISION_WINDOW_MS = 400
/** Bounds of the delay after which a refused caller may return: shorter ones repeat within one exchange between daemons, longer ones outlast objectives. */
const MIN_RETRY_DELAY_MS = 150
const MAX_RETRY_DELAY_MS = 2_000
/** Share of the time left until the objective over which callers of one rank return, and by which each rank returns later than the one above it. */
const RETURN_SPREAD_SHARE = 0.2
const RANK_DELAY_SHARE = 0.08
/** Time without a refusal after which a shortage counts as over in the log. */
const SHORTAGE_END_MS = 1_000
const HASH_VALUES = 0x100000000

const roundToThousandths = (value: number): number => Math.round(value * 1_000) / 1_000

/** Refuses requests of the least urgent ranks while a service has too little capacity. */
export class ShortageAdmission implements ShortageGate {
  private readonly services = new Map<string, ServiceState>()

  private constructor (private readonly options: ShortageAdmissionOptions) {}

  /**
   * Creates an admission that has seen no shortage.
   *
   * @param options - Capacity of services, clock, randomness, log and metrics.
   * @returns The admission.
   */
  static create (options: ShortageAdmissionOptions): ShortageAdmission {
    return new ShortageAdmission(options)
  }

  /**
   * Decides whether a request may be sent to a target now.
   *
   * @param candidate - Request.
   * @returns Admitted, or refused with the delay after which the caller may return.
   */
  readonly decide = (candidate: ShortageCandidate): ShortageDecision => {
    const { capacity, metrics, clock } = this.options
    const { service, rank, receivedAtMs, objectiveMs, isRetry } = candidate
    const room = capacity.roomOf(service)
    const level = this.levelOf(service, room)
    const elapsedMs = clock.monotonicMs() - receivedAtMs
    const request: ShortageRequest = { rank, ranks: candidate.ranks, isRetry, objectiveLeftMs: objectiveMs - elapsedMs }
    const share = admittedShare(level, request)
    metrics.setWait(service, level.waitMs)
    if (!isRetry) metrics.setLevel(service, rank, 1 - share)
    if (share >= 1 || this.draw(candidate) < share) {
      this.noteAdmitted(service)
      return { type: 'admitted' }
    }
    const retryDelayMs = this.retryDelayMs(level, request)
    this.noteRefused(candidate, { room, level, request, share, retryDelayMs })
    return { type: 'refused', retryDelayMs }
  }

  /** Level of a service. Its service time is learned while nothing waits, because the latencies of busy targets include their queues and lag behind. */
  private levelOf (service: string, room: ServiceRoom): ShortageLevel {
    const state = this.stateOf(service)
    const load = room.slots <= 0 ? 0 : room.inProgress / room.slots
    if (load < 1) state.idleServiceTimeMs = room.serviceTimeMs
    return shortageLevelOf(room, state.idleServiceTimeMs ?? room.serviceTimeMs / load)
  }

  /** Number from 0 to 1 that is the same for one request id within a window on all daemons. */
  private draw ({ requestId, service }: ShortageCandidate): number {
    if (requestId === '') return this.options.random.next()
    const offsetMs = murmurHash(requestId) % DECISION_WINDOW_MS
    const window = Math.floor((this.options.clock.wallMs() + offsetMs) / DECISION_WINDOW_MS)
    return murmurHash(`${service} ${requestId} ${window}`) / HASH_VALUES
  }

  private retryDelayMs (level: ShortageLevel, request: ShortageRequest): number {
    const leftMs = Math.max(0, request.objectiveLeftMs)
    const spreadMs = this.options.random.next() * RETURN_SPREAD_SHARE * leftMs
    const delayMs = drainTimeMs(level, request) + request.rank * RANK_DELAY_SHARE * leftMs + spreadMs
    return Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, delayMs))
  }

  private noteAdmitted (service: string): void {
    const state = this.stateOf(service)
    if (!state.isShort || this.options.clock.monotonicMs() - state.lastRefusedAtMs < SHORTAGE_END_MS) return
    state.isShort = false
    this.options.log.info('capacity of the service suffices again', { service })
  }

  private noteRefused ({ requestId, service }: ShortageCandidate, { room, level, request, share, retryDelayMs }: RefusalInputs): void {
    const { log, clock, metrics } = this.options
    const state = this.stateOf(service)
    state.lastRefusedAtMs = clock.monotonicMs()
    if (!state.isShort) log.warn('service has too little capacity', { service, load: roundToThousandths(level.load), waitMs: Math.round(level.waitMs) })
    state.isShort = true
    metrics.countRefusal(service, request.rank, request.isRetry ? 'retry' : 'first-attempt')
    log.info('request refused in a shortage', {
      requestId,
      service,
      rank: request.rank,
      ranks: request.ranks,
      isRetry: request.isRetry,
      objectiveLeftMs: Math.round(request.objectiveLeftMs),
      admittedShare: roundToThousandths(share),
      slots: roundToThousandths(room.slots),
      inProgress: roundToThousandths(room.inProgress),
      refusalShare: roundToThousandths(room.refusalShare),
      serviceTimeMs: Math.round(level.serviceTimeMs),
      waitMs: Math.round(level.waitMs),
      retryDelayMs: Math.round(retryDelayMs)
    })
  }

  private stateOf (service: string): ServiceState {
    const known = this.services.get(service)
    if (known !== undefined) return known
    const state: ServiceState = { idleServiceTimeMs: undefined, isShort: false, lastRefusedAtMs: -Infinity }
    this.services.set(service, state)
    return state
  }
}
