import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LiveEntries } from '@lovagehoist/common'
import type { Clock, InstanceIdentity, JsonValue, Member, PeerBus, PeerError, GossipEntry, GossipTopic } from '@lovagehoist/common'

/** Peer bus without peers: it has no members, and delivers published entries only to this daemon's own listeners. */
export class SoloPeerBus implements PeerBus {
  private nextSequence = 1

  private constructor (readonly self: InstanceIdentity, private readonly liveEntries: LiveEntries) {}

  /**
   * Creates a bus.
   *
   * @param self - Identity of this process.
   * @param clock - Source of time.
   * @returns The bus.
   */
  static create (self: InstanceIdentity, clock: Clock): SoloPeerBus {
    return new SoloPeerBus(self, LiveEntries.create(clock))
  }

  readonly members = (): readonly Member[] => []

  readonly publish = (topic: GossipTopic, key: string, value: JsonValue, lifetimeMs: number): void => {
    this.liveEntries.put({ topic, key, origin: this.self, sequence: this.nextSequence++, value, ageMs: 0 }, lifetimeMs)
  }

  readonly entries = (topic: GossipTopic): readonly GossipEntry[] => this.liveEntries.entries(topic)

  readonly onEntry = (topic: GossipTopic, listener: (entry: GossipEntry) => void): (() => void) => this.liveEntries.onEntry(topic, listener)

  readonly call = async (instanceId: string): Promise<Result<JsonValue, PeerError>> =>
    err({ kind: 'unreachable', message: `${instanceId} is not known: control is off` })

  readonly handle = (): void => {}
}
