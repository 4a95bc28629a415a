import { murmurHash } from '@lovagehoist/common'
import type { InstanceIdentity, Member } from '@lovagehoist/common'

/** State that a daemon publishes about itself. */
export interface SelfDescription {
  readonly configVersion: number
  /** Digest of the active configuration; only its first digits if received from another daemon. */
  readonly configDigest: string
  readonly isReady: boolean
}

/** Identity and address of a daemon's process, as it announces them in its self entry. */
export interface ProcessAnnouncement extends InstanceIdentity {
  readonly host: string
  readonly port: number
  /** Incarnation number: orders the processes of an instance, and increases when a process refutes a suspicion. */
  readonly epoch: number
}

/** State of one other instance as known here; the start id is empty until its process has announced itself. */
export interface MemberRecord extends ProcessAnnouncement {
  /** Ref of the process, see `processRefOf`; 0 until its process has announced itself. */
  readonly ref: number
  /** State in the platform's instance directory. */
  readonly directoryState: 'live' | 'leaving' | 'absent'
  /** Monotonic time of the newest information from it, received directly or through other daemons. */
  readonly heardAtMs: number
  /** Monotonic time of the newest exchange that proved the direct link in both directions. */
  readonly confirmedAtMs: number
  readonly isLinkFailed: boolean
  /** Whether a process other than the known one answers at its address. */
  readonly isReplaced: boolean
  readonly suspectSinceMs: number | undefined
  readonly goneAtMs: number | undefined
  readonly description: SelfDescription
  readonly isLeaving: boolean
  /** Free share of its byte budget in percent, as last reported by it. */
  readonly freeBudgetPercent: number
}

const REF_HIGH_LIMIT = 0x100000
const REF_LOW_LIMIT = 0x100000000

/**
 * Computes the ref of a process: a number that stands for its ids in entries.
 *
 * @param instanceId - Instance id.
 * @param startId - Start id of the process.
 * @returns 52-bit hash of both ids.
 */
export const processRefOf = (instanceId: string, startId: string): number =>
  (murmurHash(`${instanceId}/${startId}`) % REF_HIGH_LIMIT) * REF_LOW_LIMIT + murmurHash(`${startId}/${instanceId}`)

const UNKNOWN_DESCRIPTION: SelfDescription = { configVersion: 0, configDigest: '', isReady: false }

/**
 * Creates the record of an instance whose process has not announced itself.
 *
 * @param place - Instance id, locality and address.
 * @param nowMs - Current monotonic time.
 * @returns The record.
 */
export const createRecord = (place: Omit<ProcessAnnouncement, 'startId' | 'epoch'>, nowMs: number): MemberRecord => ({
  ...place,
  startId: '',
  epoch: 0,
  ref: 0,
  directoryState: 'absent',
  heardAtMs: nowMs,
  confirmedAtMs: Number.NEGATIVE_INFINITY,
  isLinkFailed: false,
  isReplaced: false,
  suspectSinceMs: undefined,
  goneAtMs: undefined,
  description: UNKNOWN_DESCRIPTION,
  isLeaving: false,
  freeBudgetPercent: 100
})

/**
 * Derives the status of a member.
 *
 * @param record - Record of the member.
 * @param isAnyConfirmed - Whether any link of this daemon was confirmed recently; without one, second-hand information is out of date.
 * @param isConfirmed - Whether the direct link to the member was confirmed recently.
 * @returns Status of the member.
 */
export const statusOf = (record: MemberRecord, isAnyConfirmed: boolean, isConfirmed: boolean): Member['status'] => {
  if (record.goneAtMs !== undefined) return 'gone'
  if (record.isLeaving || record.directoryState === 'leaving') return 'leaving'
  if (record.startId === '' || record.isLinkFailed || record.suspectSinceMs !== undefined) return 'suspect'
  return isConfirmed || isAnyConfirmed ? 'reachable' : 'suspect'
}
