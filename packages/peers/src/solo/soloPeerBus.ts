import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { HeldEntries } from '@lovagehoist/common'
import type { Clock, InstanceIdentity, JsonValue, Member, PeerBus, PeerError, SharedEntry, SpreadClass } from '@lovagehoist/common'

/** Bus of a daemon that talks to no other one: it hears only itself. */
export class SoloPeerBus implements PeerBus {
  private nextSequence = 1

  private constructor (readonly self: InstanceIdentity, private readonly heldEntries: HeldEntries) {}

  /**
   * Creates a bus.
   *
   * @param self - This process.
   * @param clock - Source of time.
   * @returns The bus.
   */
  static create (self: InstanceIdentity, clock: Clock): SoloPeerBus {
    return new SoloPeerBus(self, HeldEntries.create(clock))
  }

  readonly members = (): readonly Member[] => []

  readonly publish = (topic: SpreadClass, key: string, value: JsonValue, lifetimeMs: number): void => {
    this.heldEntries.put({ topic, key, origin: this.self, sequence: this.nextSequence++, value, ageMs: 0 }, lifetimeMs)
  }

  readonly entries = (topic: SpreadClass): readonly SharedEntry[] => this.heldEntries.entries(topic)

  readonly onEntry = (topic: SpreadClass, listener: (entry: SharedEntry) => void): (() => void) => this.heldEntries.onEntry(topic, listener)

  readonly call = async (instanceId: string): Promise<Result<JsonValue, PeerError>> =>
    err({ kind: 'unreachable', message: `${instanceId} is not known: control is off` })

  readonly handle = (): void => {}
}
