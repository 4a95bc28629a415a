import type { InstanceRecord } from '@lovagehoist/common'
import type { ManualClock } from '@lovagehoist/common/testing'
import type { Datagrams } from '@lovagehoist/peers'

/** A datagram on its way between two daemons. */
export interface SimulatedDatagram {
  readonly from: InstanceRecord
  readonly to: InstanceRecord
  readonly bytes: number
  readonly isCrossZone: boolean
}

/** Latency, losses and observers of a simulated network. */
export interface SimulatedNetworkOptions {
  readonly clock: ManualClock
  readonly inZoneDelayMs: number
  readonly crossZoneDelayMs: number
  /** Whether a daemon is down now and neither sends nor receives. */
  readonly isDown?: (record: InstanceRecord) => boolean
  /** Whether a datagram is lost on its way. */
  readonly isLost?: (datagram: SimulatedDatagram) => boolean
  readonly onSent?: (datagram: SimulatedDatagram) => void
  readonly onReceived?: (datagram: SimulatedDatagram) => void
}

/** Carries datagrams between simulated daemons in virtual time. */
export class SimulatedNetwork {
  private readonly receivers = new Map<string, { readonly record: InstanceRecord, readonly receive: (bytes: Uint8Array, host: string) => void }>()

  private constructor (private readonly options: SimulatedNetworkOptions) {}

  /** Creates a network without daemons. */
  static create (options: SimulatedNetworkOptions): SimulatedNetwork {
    return new SimulatedNetwork(options)
  }

  /** Creates the transport of a daemon; a later one of the same host takes its place. */
  datagramsOf (from: InstanceRecord): Datagrams {
    return {
      send: (host, bytes) => { this.send(from, host, bytes) },
      onDatagram: receive => { this.receivers.set(from.host, { record: from, receive }) },
      close: () => {}
    }
  }

  private send (from: InstanceRecord, host: string, bytes: Uint8Array): void {
    const { clock, inZoneDelayMs, crossZoneDelayMs, isDown, isLost, onSent, onReceived } = this.options
    const to = this.receivers.get(host)?.record
    if (to === undefined || isDown?.(from) === true) return
    const datagram: SimulatedDatagram = { from, to, bytes: bytes.length, isCrossZone: to.availabilityZone !== from.availabilityZone }
    onSent?.(datagram)
    if (isLost?.(datagram) === true) return
    clock.after(datagram.isCrossZone ? crossZoneDelayMs : inZoneDelayMs, () => {
      if (isDown?.(to) === true) return
      onReceived?.(datagram)
      this.receivers.get(host)?.receive(bytes, from.host)
    })
  }
}
