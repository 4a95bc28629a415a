import type { Clock, InstanceIdentity } from '@lovagehoist/common'
import type { PeerAddress } from '../transport/peerTransport.js'
import type { Spreader } from '../spread/spreader.js'
import { DESCRIPTION_KEY, SELF_KEY, descriptionValue, selfValue } from './membershipEntries.js'
import type { SelfDescription } from './memberRecord.js'

const LIFETIME_MS = 900_000
const REFRESH_MS = 300_000

/** Spreads what this process says of itself: its own entry, and its description when that changes. */
export class SelfState {
  private epoch: number
  private isLeaving = false
  private told = ''
  private toldAtMs = Number.NEGATIVE_INFINITY
  private read: () => SelfDescription = () => ({ configVersion: 0, configDigest: '', isReady: false })
  private address: PeerAddress | undefined

  private constructor (private readonly self: InstanceIdentity, private readonly clock: Clock, private readonly spreader: Spreader) {
    this.epoch = Math.floor(clock.wallMs())
  }

  /**
   * Creates the state of a process that does not listen yet.
   *
   * @param self - This process.
   * @param clock - Source of time; the wall clock orders the processes of an instance.
   * @param spreader - Carries the entries.
   * @returns The state.
   */
  static create (self: InstanceIdentity, clock: Clock, spreader: Spreader): SelfState {
    return new SelfState(self, clock, spreader)
  }

  /** Says how the description is read. */
  describe (read: () => SelfDescription): void {
    this.read = read
  }

  /** Description of this process now. */
  current (): SelfDescription {
    return this.read()
  }

  /** Spreads the address that this process listens on. */
  listen (address: PeerAddress): void {
    this.address = address
    this.publishSelf()
  }

  /** Spreads that this process leaves. */
  leave (): void {
    this.isLeaving = true
    this.tell()
  }

  /** Contradicts a suspicion or an earlier process by a higher epoch. */
  raise (epoch: number): void {
    if (epoch < this.epoch) return
    this.epoch = epoch + 1
    this.publishSelf()
  }

  /** Spreads the description when it changed, and both entries again from time to time. */
  tell (): void {
    const value = descriptionValue(this.read(), this.isLeaving)
    const text = JSON.stringify(value)
    const nowMs = this.clock.monotonicMs()
    const isDue = nowMs - this.toldAtMs >= REFRESH_MS
    if (text === this.told && !isDue) return
    if (isDue) this.publishSelf()
    this.told = text
    this.toldAtMs = nowMs
    this.spreader.publish('membership', DESCRIPTION_KEY, value, LIFETIME_MS)
  }

  private publishSelf (): void {
    if (this.address === undefined) return
    const { host, port } = this.address
    this.spreader.publish('membership', SELF_KEY, selfValue({ ...this.self, host, port, epoch: this.epoch }), LIFETIME_MS)
  }
}
