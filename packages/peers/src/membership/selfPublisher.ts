import type { Clock, InstanceIdentity } from '@lovagehoist/common'
import type { PeerAddress } from '../transport/peerTransport.js'
import type { Spreader } from '../spread/spreader.js'
import { DESCRIPTION_KEY, SELF_KEY, encodeDescription, encodeSelfEntry } from './membershipEntries.js'
import type { SelfDescription } from './memberRecord.js'

const ENTRY_LIFETIME_MS = 900_000
const REPUBLISH_INTERVAL_MS = 300_000

/** Publishes the self entry and the description of this process. */
export class SelfPublisher {
  private epoch: number
  private isLeaving = false
  private publishedText = ''
  private publishedAtMs = Number.NEGATIVE_INFINITY
  private readDescription: () => SelfDescription = () => ({ configVersion: 0, configDigest: '', isReady: false })
  private address: PeerAddress | undefined

  private constructor (private readonly self: InstanceIdentity, private readonly clock: Clock, private readonly spreader: Spreader) {
    this.epoch = Math.floor(clock.wallMs())
  }

  /**
   * Creates the publisher of a process that does not listen yet.
   *
   * @param self - Identity of this process.
   * @param clock - Source of time; the wall clock gives the first epoch, which orders the processes of an instance.
   * @param spreader - Publishes the entries.
   * @returns The publisher.
   */
  static create (self: InstanceIdentity, clock: Clock, spreader: Spreader): SelfPublisher {
    return new SelfPublisher(self, clock, spreader)
  }

  /** Sets the source of the description. */
  setDescriptionReader (read: () => SelfDescription): void {
    this.readDescription = read
  }

  /** Current description of this process. */
  currentDescription (): SelfDescription {
    return this.readDescription()
  }

  /** Publishes the address that this process is reached at. */
  publishAddress (address: PeerAddress): void {
    this.address = address
    this.publishSelfEntry()
  }

  /** Publishes that this process is leaving. */
  publishLeaving (): void {
    this.isLeaving = true
    this.publishIfDue()
  }

  /** Refutes a suspicion, or outranks another process of this instance, by publishing a higher epoch. */
  outrankEpoch (epoch: number): void {
    if (epoch < this.epoch) return
    this.epoch = epoch + 1
    this.publishSelfEntry()
  }

  /** Publishes the description if it changed, and republishes both entries periodically so that they do not expire. */
  publishIfDue (): void {
    const value = encodeDescription(this.readDescription(), this.isLeaving)
    const text = JSON.stringify(value)
    const nowMs = this.clock.monotonicMs()
    const isDue = nowMs - this.publishedAtMs >= REPUBLISH_INTERVAL_MS
    if (text === this.publishedText && !isDue) return
    if (isDue) this.publishSelfEntry()
    this.publishedText = text
    this.publishedAtMs = nowMs
    this.spreader.publish('membership', DESCRIPTION_KEY, value, ENTRY_LIFETIME_MS)
  }

  private publishSelfEntry (): void {
    if (this.address === undefined) return
    const { host, port } = this.address
    this.spreader.publish('membership', SELF_KEY, encodeSelfEntry({ ...this.self, host, port, epoch: this.epoch }), ENTRY_LIFETIME_MS)
  }
}
