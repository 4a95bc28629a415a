import type { Clock, Target, TargetAnswer, TargetFailure, TargetRequest, TargetSender } from '@lovagehoist/common'
import { ConnectionList } from './connectionList.js'
import { Exchange } from './exchange.js'

/** What the sender needs. */
export interface TargetSenderOptions {
  readonly clock: Clock
  /** Limit of connecting to a target of a service. */
  readonly connectTimeoutMs: (service: string) => number
}

/** Sends each request once, on a connection of its own for the time of the exchange. */
export class ConnectionSender implements TargetSender {
  private readonly lists = new Map<string, ConnectionList>()

  private constructor (private readonly options: TargetSenderOptions) {}

  /**
   * Creates a sender without connections.
   *
   * @param options - Clock and limits.
   * @returns The sender.
   */
  static create (options: TargetSenderOptions): ConnectionSender {
    return new ConnectionSender(options)
  }

  readonly send = async (target: Target, request: TargetRequest, signal: AbortSignal): Promise<TargetAnswer | TargetFailure> => {
    const list = this.listOf(target)
    const connection = list.take()
    const onEnd = (isWhole: boolean): void => {
      if (isWhole) list.giveBack(connection)
      else connection.client.destroy().catch(() => {})
    }
    return await Exchange.create(connection, request, this.options.clock, { onEnd }).run(signal)
  }

  readonly warm = async (): Promise<void> => {}

  readonly retireConnections = (targetId: string, olderThanMs: number): void => {
    this.lists.get(targetId)?.retire(olderThanMs)
  }

  /** Destroys all connections. */
  close (): void {
    for (const list of this.lists.values()) list.retire(-1)
    this.lists.clear()
  }

  private listOf (target: Target): ConnectionList {
    const known = this.lists.get(target.id)
    if (known !== undefined) return known
    const list = ConnectionList.create(target, this.options.clock, this.options.connectTimeoutMs(target.service))
    this.lists.set(target.id, list)
    return list
  }
}
