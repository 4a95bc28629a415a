import type { Clock } from '@lovagehoist/common'

interface Transfer {
  readonly from: string
  readonly to: string
  remainingBits: number
  readonly finish: () => void
}

/** Time between two steps in which transfers advance. */
const STEP_MS = 5
const BITS_PER_BYTE = 8
/** Bits that a link of 1 Mbit/s carries within a millisecond. */
const BITS_PER_MS_AND_MBPS = 1_000

/** Links of machines in virtual time; the transfers over a link share its rate evenly. */
export class SimulatedLinks {
  private readonly transfers = new Set<Transfer>()

  private constructor (private readonly clock: Clock, private readonly mbpsOf: (host: string) => number) {}

  /**
   * Creates links without transfers.
   *
   * @param clock - Virtual time.
   * @param mbpsOf - Rate of the link of a host, in Mbit/s.
   */
  static create (clock: Clock, mbpsOf: (host: string) => number): SimulatedLinks {
    return new SimulatedLinks(clock, mbpsOf)
  }

  /**
   * Transfers data from one host to another.
   *
   * @param from - Sending host.
   * @param to - Receiving host.
   * @param bytes - Amount of data.
   */
  async transfer (from: string, to: string, bytes: number): Promise<void> {
    await new Promise<void>(resolve => {
      this.transfers.add({ from, to, remainingBits: bytes * BITS_PER_BYTE, finish: resolve })
      if (this.transfers.size === 1) this.clock.after(STEP_MS, this.step)
    })
  }

  private readonly step = (): void => {
    const open = new Map<string, number>()
    for (const { from, to } of this.transfers) for (const host of [from, to]) open.set(host, (open.get(host) ?? 0) + 1)
    for (const transfer of [...this.transfers]) {
      const mbps = Math.min(...[transfer.from, transfer.to].map(host => this.mbpsOf(host) / (open.get(host) ?? 1)))
      transfer.remainingBits -= mbps * BITS_PER_MS_AND_MBPS * STEP_MS
      if (transfer.remainingBits > 0) continue
      this.transfers.delete(transfer)
      transfer.finish()
    }
    if (this.transfers.size > 0) this.clock.after(STEP_MS, this.step)
  }
}
