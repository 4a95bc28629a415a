/** Requests of one priority in a simulated service. */
export interface RequestClass {
  readonly priority: number
  /** Share of the requests while all is quiet. */
  readonly share: number
  /** Value of a response within the objective, and the part of it that a later one has. */
  readonly value: number
  readonly lateShare: number
  /** Work relative to the mean of the service. */
  readonly work: number
}

/** A simulated service and the daemons before it. */
export interface ShortageService {
  readonly daemons: number
  readonly zones: number
  readonly targets: number
  readonly slots: number
  readonly workMs: number
  readonly objectiveMs: number
  readonly timeoutMs: number
  /** Share of the requests that take several times the mean work, and how many times. */
  readonly tailShare: number
  readonly tailFactor: number
}

/** A load on the service; the fault lasts from `FAULT_FROM_MS` for `faultMs`. */
export interface ShortageLoad {
  /** Share of all slots that the requests occupy while all is quiet. */
  readonly use: number
  readonly faultMs: number
  /** Factor of the demand of a class during the fault. */
  readonly demand?: (classIndex: number) => number
  /** Probability that a target refuses a request during the fault. */
  readonly refusing?: number
  /** Share of the targets that are lost during the fault. */
  readonly lost?: number
  /** Share of the targets that are slow during the fault, and by how much. */
  readonly slow?: readonly [share: number, factor: number]
  /** Whether all daemons restart at the start of the fault. */
  readonly isRestart?: boolean
}

export const FAULT_FROM_MS = 4_000
/** Time after the fault in which requests still count, because queues and returning callers outlast it. */
export const AFTERMATH_MS = 2_000

/** Classes of the simulated service, the most urgent first. The values are assumptions. */
export const CLASSES: readonly RequestClass[] = [
  { priority: 0, share: 0.2, value: 4, lateShare: 0.1, work: 1.2 },
  { priority: 1, share: 0.5, value: 2, lateShare: 0.3, work: 0.9 },
  { priority: 2, share: 0.3, value: 1, lateShare: 0.45, work: 1.03 }
]

/** Services of the deployments on the work page, the first one at a smaller size. */
export const SERVICES: Readonly<Record<'36' | '93' | '165', ShortageService>> = {
  36: { daemons: 36, zones: 3, targets: 24, slots: 2, workMs: 212, objectiveMs: 1_037, timeoutMs: 3_094, tailShare: 0.01, tailFactor: 4 },
  93: { daemons: 93, zones: 3, targets: 48, slots: 2, workMs: 212, objectiveMs: 1_037, timeoutMs: 3_094, tailShare: 0.01, tailFactor: 4 },
  165: { daemons: 165, zones: 4, targets: 33, slots: 4, workMs: 361, objectiveMs: 1_208, timeoutMs: 6_021, tailShare: 0.03, tailFactor: 7 }
}

/** Factor by which demand rises when the class of 0.5 holds an account of 0.3 of its requests at 7.5 times its rate. */
const ACCOUNT_FACTOR = 1 + 0.3 * (7.5 - 1)
const BURST = 1.7

/** Loads of the work page, at the mean use of the deployments and at one where capacity is short. */
export const LOADS: Readonly<Record<string, ShortageLoad>> = {
  quiet: { use: 0.3, faultMs: 6_000 },
  'burst, 0.33 in use': { use: 0.33, faultMs: 5_000, demand: () => BURST },
  'burst, 0.7 in use': { use: 0.7, faultMs: 5_000, demand: () => BURST },
  'burst of 2.4, 0.7 in use': { use: 0.7, faultMs: 5_000, demand: () => 2.4 },
  'burst of 5, 0.3 in use': { use: 0.3, faultMs: 3_000, demand: () => 5 },
  'half refused': { use: 0.33, faultMs: 8_000, refusing: 0.5 },
  'half refused, 0.6 in use': { use: 0.6, faultMs: 8_000, refusing: 0.5 },
  'hot account, 0.33 in use': { use: 0.33, faultMs: 5_000, demand: index => index === 1 ? ACCOUNT_FACTOR : 1 },
  'hot account, 0.7 in use': { use: 0.7, faultMs: 5_000, demand: index => index === 1 ? ACCOUNT_FACTOR : 1 },
  'sixth lost, 0.33 in use': { use: 0.33, faultMs: 5_000, lost: 1 / 6 },
  'sixth lost in a burst, 0.6 in use': { use: 0.6, faultMs: 5_000, lost: 1 / 6, demand: () => BURST },
  'slow targets, 0.33 in use': { use: 0.33, faultMs: 9_000, slow: [0.4, 12] },
  'slow targets in a burst, 0.45 in use': { use: 0.45, faultMs: 6_000, slow: [0.4, 12], demand: () => BURST },
  'restart, 0.33 in use': { use: 0.33, faultMs: 1_500, isRestart: true, demand: () => 2.4 },
  'restart, 0.6 in use': { use: 0.6, faultMs: 1_500, isRestart: true, demand: () => 2.4 }
}
