import { sha256Hex } from '@lovagehoist/common'
import type { Member } from '@lovagehoist/common'
import type { VersionConfirmation } from './confirmationTracker.js'

const HASH_BYTES = 3
const RECORD_BYTES = HASH_BYTES + 1
/** Unit of the encoded ages, which are rounded up. */
const AGE_UNIT_MS = 25
const MAX_AGE_UNITS = 254
/** Records older than this are neither sent nor counted. */
export const MAX_AGE_MS = AGE_UNIT_MS * MAX_AGE_UNITS

const hashOf = (instanceId: string): number => Buffer.from(sha256Hex(instanceId), 'hex').readUIntBE(0, HASH_BYTES)

/** Tracks when each instance was last known to hold nothing newer than the version held here. */
export class FleetMajority {
  private readonly confirmedAtMs = new Map<number, number>()

  private constructor (private readonly selfHash: number) {}

  /**
   * Creates a tracker without records of other instances.
   *
   * @param selfId - Id of this instance.
   * @returns The tracker.
   */
  static create (selfId: string): FleetMajority {
    return new FleetMajority(hashOf(selfId))
  }

  /**
   * Encodes how long ago each instance, this one included, was known to hold nothing newer.
   *
   * @param nowMs - Monotonic time.
   * @returns Records of an instance id's hash (3 bytes) and an age (1 byte), as base64.
   */
  encode (nowMs: number): string {
    const fresh = [...this.confirmedAtMs].filter(([hash, atMs]) => hash !== this.selfHash && nowMs - atMs <= MAX_AGE_MS)
    const records: ReadonlyArray<readonly [number, number]> = [[this.selfHash, nowMs], ...fresh]
    const bytes = Buffer.alloc(records.length * RECORD_BYTES)
    for (const [index, [hash, atMs]] of records.entries()) {
      bytes.writeUIntBE(hash, index * RECORD_BYTES, HASH_BYTES)
      bytes.writeUInt8(Math.ceil((nowMs - atMs) / AGE_UNIT_MS), index * RECORD_BYTES + HASH_BYTES)
    }
    return bytes.toString('base64')
  }

  /**
   * Merges the records of a peer, which must hold nothing newer than this daemon.
   *
   * @param encoded - Records from the peer's response.
   * @param requestedAtMs - Monotonic time at which the request was sent. Ages count back from it, so that the time in transit never makes a record look newer.
   */
  merge (encoded: string, requestedAtMs: number): void {
    const bytes = Buffer.from(encoded, 'base64')
    for (let at = 0; at + RECORD_BYTES <= bytes.length; at += RECORD_BYTES) {
      const hash = bytes.readUIntBE(at, HASH_BYTES)
      const atMs = requestedAtMs - bytes.readUInt8(at + HASH_BYTES) * AGE_UNIT_MS
      if (atMs > (this.confirmedAtMs.get(hash) ?? Number.NEGATIVE_INFINITY)) this.confirmedAtMs.set(hash, atMs)
    }
  }

  /**
   * Finds the latest time at which more than half of the known instances, this one included, held nothing newer.
   *
   * Unreachable members count as known too: a partitioned part of the fleet must not take itself for the whole. Only
   * leaving members don't count.
   *
   * @param members - Other instances.
   * @param version - Version held here.
   * @param nowMs - Monotonic time.
   * @returns The confirmation; undefined while there is no such majority.
   */
  latestConfirmation (members: readonly Member[], version: number, nowMs: number): VersionConfirmation | undefined {
    const known = members.filter(member => member.status !== 'leaving')
    const timesMs = known.flatMap(member => this.confirmedAtMs.get(hashOf(member.instanceId)) ?? []).sort((a, b) => b - a)
    const needed = Math.floor((known.length + 1) / 2)
    if (needed === 0) return { version, atMs: nowMs }
    const atMs = timesMs[needed - 1]
    return atMs === undefined ? undefined : { version, atMs }
  }

  /** Removes records older than `MAX_AGE_MS`. */
  removeExpired (nowMs: number): void {
    for (const [hash, atMs] of this.confirmedAtMs) if (nowMs - atMs > MAX_AGE_MS) this.confirmedAtMs.delete(hash)
  }
}
