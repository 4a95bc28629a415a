import { murmurHash } from '@lovagehoist/common'
import type { InstanceIdentity, Member } from '@lovagehoist/common'

/** What a daemon tells about itself. */
export interface SelfDescription {
  readonly configVersion: number
  /** Digest of the configuration in force, or its first digits when it came from afar. */
  readonly configDigest: string
  readonly isReady: boolean
}

/** A daemon's process as its own entry names it. */
export interface SelfWord extends InstanceIdentity {
  readonly host: string
  readonly port: number
  /** Order of the processes of an instance; grows when a process contradicts a suspicion. */
  readonly epoch: number
}

/** What is known of one instance; the start id is empty until its process was heard. */
export interface MemberRecord extends SelfWord {
  readonly ref: number
  readonly listed: 'live' | 'leaving' | 'absent'
  /** Time of the newest word from it, at any hand. */
  readonly heardAtMs: number
  /** Time of the newest exchange that proved both directions of the own link. */
  readonly confirmedAtMs: number
  readonly isLinkFailed: boolean
  /** Whether its process on this address is another one than the known. */
  readonly isReplaced: boolean
  readonly suspectSinceMs: number | undefined
  readonly goneAtMs: number | undefined
  readonly description: SelfDescription
  readonly isLeaving: boolean
  /** Free share of its byte budget in percent, as it told last. */
  readonly roomPercent: number
}

const REF_HIGH_LIMIT = 0x100000
const REF_LOW_LIMIT = 0x100000000

/**
 * Names a process by a number, so that entries need not repeat its ids.
 *
 * @param instanceId - Instance.
 * @param startId - Process.
 * @returns A 52-bit hash of both.
 */
export const refOf = (instanceId: string, startId: string): number =>
  (murmurHash(`${instanceId}/${startId}`) % REF_HIGH_LIMIT) * REF_LOW_LIMIT + murmurHash(`${startId}/${instanceId}`)

const UNKNOWN_DESCRIPTION: SelfDescription = { configVersion: 0, configDigest: '', isReady: false }

/**
 * Makes the record of an instance that was not heard yet.
 *
 * @param place - Instance, place and address.
 * @param nowMs - Time now.
 * @returns The record.
 */
export const newRecord = (place: Omit<SelfWord, 'startId' | 'epoch'>, nowMs: number): MemberRecord => ({
  ...place,
  startId: '',
  epoch: 0,
  ref: 0,
  listed: 'absent',
  heardAtMs: nowMs,
  confirmedAtMs: Number.NEGATIVE_INFINITY,
  isLinkFailed: false,
  isReplaced: false,
  suspectSinceMs: undefined,
  goneAtMs: undefined,
  description: UNKNOWN_DESCRIPTION,
  isLeaving: false,
  roomPercent: 100
})

/**
 * Judges a member.
 *
 * @param record - What is known of it.
 * @param isAnyConfirmed - Whether any link of this daemon was confirmed lately, without which nothing is known at second hand.
 * @param isConfirmed - Whether the own link to it was confirmed lately.
 * @returns Its status.
 */
export const statusOf = (record: MemberRecord, isAnyConfirmed: boolean, isConfirmed: boolean): Member['status'] => {
  if (record.goneAtMs !== undefined) return 'gone'
  if (record.isLeaving || record.listed === 'leaving') return 'leaving'
  if (record.startId === '' || record.isLinkFailed || record.suspectSinceMs !== undefined) return 'suspect'
  return isConfirmed || isAnyConfirmed ? 'reachable' : 'suspect'
}
