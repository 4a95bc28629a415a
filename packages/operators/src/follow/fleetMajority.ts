import { sha256Hex } from '@lovagehoist/common'
import type { Member } from '@lovagehoist/common'
import type { Sighting } from './currency.js'

const HASH_BYTES = 3
const RECORD_BYTES = HASH_BYTES + 1
/** Unit in which ages are sent; ages are rounded up. */
const AGE_UNIT_MS = 25
const MAX_AGE_UNITS = 254
/** Ages beyond this are not sent and prove nothing. */
export const MAX_AGE_MS = AGE_UNIT_MS * MAX_AGE_UNITS

const hashOf = (instanceId: string): number => Buffer.from(sha256Hex(instanceId), 'hex').readUIntBE(0, HASH_BYTES)

/** When each instance was last known to hold nothing newer than the version held here. */
export class FleetMajority {
  private readonly heldAtMs = new Map<number, number>()

  private constructor (private readonly selfHash: number) {}

  /**
   * Creates the knowledge of a daemon that has heard nobody.
   *
   * @param selfId - Id of this instance.
   * @returns The knowledge.
   */
  static create (selfId: string): FleetMajority {
    return new FleetMajority(hashOf(selfId))
  }

  /**
   * Writes down how long ago each instance was known to hold nothing newer, this one included.
   *
   * @param nowMs - Monotonic time.
   * @returns Records of a hash and an age, as base64.
   */
  encode (nowMs: number): string {
    const fresh = [...this.heldAtMs].filter(([hash, atMs]) => hash !== this.selfHash && nowMs - atMs <= MAX_AGE_MS)
    const records: ReadonlyArray<readonly [number, number]> = [[this.selfHash, nowMs], ...fresh]
    const bytes = Buffer.alloc(records.length * RECORD_BYTES)
    for (const [index, [hash, atMs]] of records.entries()) {
      bytes.writeUIntBE(hash, index * RECORD_BYTES, HASH_BYTES)
      bytes.writeUInt8(Math.ceil((nowMs - atMs) / AGE_UNIT_MS), index * RECORD_BYTES + HASH_BYTES)
    }
    return bytes.toString('base64')
  }

  /**
   * Takes in what a peer knows; the peer must hold nothing newer than this daemon.
   *
   * @param encoded - Records of the peer's answer.
   * @param askedAtMs - Monotonic time at which the peer was asked: its ages count back from no earlier moment.
   */
  merge (encoded: string, askedAtMs: number): void {
    const bytes = Buffer.from(encoded, 'base64')
    for (let at = 0; at + RECORD_BYTES <= bytes.length; at += RECORD_BYTES) {
      const hash = bytes.readUIntBE(at, HASH_BYTES)
      const atMs = askedAtMs - bytes.readUInt8(at + HASH_BYTES) * AGE_UNIT_MS
      if (atMs > (this.heldAtMs.get(hash) ?? Number.NEGATIVE_INFINITY)) this.heldAtMs.set(hash, atMs)
    }
  }

  /**
   * Finds the latest moment at which more than half of the known instances, this one included, held nothing newer.
   *
   * Every listed instance counts as known, also one that is out of reach: a part of the fleet that is cut off must not
   * take itself for the whole. Only leaving ones don't count.
   *
   * @param members - Other instances.
   * @param version - Version held here.
   * @param nowMs - Monotonic time.
   * @returns The sighting; undefined when fewer are known to.
   */
  see (members: readonly Member[], version: number, nowMs: number): Sighting | undefined {
    const known = members.filter(member => member.status !== 'leaving')
    const timesMs = known.flatMap(member => this.heldAtMs.get(hashOf(member.instanceId)) ?? []).sort((a, b) => b - a)
    const needed = Math.floor((known.length + 1) / 2)
    if (needed === 0) return { version, atMs: nowMs }
    const atMs = timesMs[needed - 1]
    return atMs === undefined ? undefined : { version, atMs }
  }

  /** Forgets what is too old to prove anything. */
  sweep (nowMs: number): void {
    for (const [hash, atMs] of this.heldAtMs) if (nowMs - atMs > MAX_AGE_MS) this.heldAtMs.delete(hash)
  }
}
