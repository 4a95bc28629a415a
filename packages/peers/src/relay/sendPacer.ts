import type { Clock } from '@lovagehoist/common'

/** Datagrams per second that a machine of full fitness may send to the daemons of its zone. */
const DATAGRAMS_PER_SECOND = 1_300
/** The standby relay sends this share of the first one's views while that one is heard from. */
const STANDBY_SHARE = 0.25
const MS_PER_SECOND = 1_000

/** Spaces messages to many receivers so that neither the sender nor its link is overloaded. */
export class SendPacer {
  private freeAtMs = -Infinity

  private constructor (private readonly clock: Clock, private readonly fitness: number) {}

  /**
   * Creates a pacer that has sent nothing.
   *
   * @param clock - Source of time.
   * @param fitness - Fraction of a relay's workload that this machine can handle.
   * @returns The pacer.
   */
  static create (clock: Clock, fitness: number): SendPacer {
    return new SendPacer(clock, fitness)
  }

  /** Whether the datagrams sent so far are spread over enough time for the next message. */
  get maySend (): boolean {
    return this.clock.monotonicMs() >= this.freeAtMs
  }

  /**
   * Records that a message was sent now.
   *
   * @param datagrams - Number of datagrams to all receivers together.
   * @param isStandby - Whether another relay serves the same receivers.
   */
  recordSent (datagrams: number, isStandby: boolean): void {
    const perSecond = DATAGRAMS_PER_SECOND * this.fitness * (isStandby ? STANDBY_SHARE : 1)
    this.freeAtMs = this.clock.monotonicMs() + datagrams * MS_PER_SECOND / perSecond
  }
}
