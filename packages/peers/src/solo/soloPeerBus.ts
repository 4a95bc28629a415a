import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, InstanceIdentity, JsonValue, Member, PeerBus, PeerError, SharedEntry, SpreadClass } from '@lovagehoist/common'

interface Held {
  readonly entry: SharedEntry
  readonly publishedAtMs: number
  readonly lifetimeMs: number
}

/** Bus of a daemon that talks to no other one: it hears only itself. */
export class SoloPeerBus implements PeerBus {
  private readonly held = new Map<string, Held>()
  private readonly listeners = new Map<SpreadClass, Set<(entry: SharedEntry) => void>>()
  private nextSequence = 1

  private constructor (readonly self: InstanceIdentity, private readonly clock: Clock) {}

  /**
   * Creates a bus.
   *
   * @param self - This process.
   * @param clock - Source of time.
   * @returns The bus.
   */
  static create (self: InstanceIdentity, clock: Clock): SoloPeerBus {
    return new SoloPeerBus(self, clock)
  }

  readonly members = (): readonly Member[] => []

  readonly publish = (topic: SpreadClass, key: string, value: JsonValue, lifetimeMs: number): void => {
    const entry: SharedEntry = { topic, key, origin: this.self, sequence: this.nextSequence++, value, ageMs: 0 }
    this.held.set(`${topic}/${key}`, { entry, publishedAtMs: this.clock.monotonicMs(), lifetimeMs })
    for (const listener of this.listeners.get(topic) ?? []) listener(entry)
  }

  readonly entries = (topic: SpreadClass): readonly SharedEntry[] => {
    const nowMs = this.clock.monotonicMs()
    return [...this.held.values()]
      .filter(held => held.entry.topic === topic && nowMs - held.publishedAtMs < held.lifetimeMs)
      .map(held => ({ ...held.entry, ageMs: nowMs - held.publishedAtMs }))
  }

  readonly onEntry = (topic: SpreadClass, listener: (entry: SharedEntry) => void): (() => void) => {
    const listeners = this.listeners.get(topic) ?? new Set()
    this.listeners.set(topic, listeners.add(listener))
    return () => { listeners.delete(listener) }
  }

  readonly call = async (instanceId: string): Promise<Result<JsonValue, PeerError>> =>
    err({ kind: 'unreachable', message: `${instanceId} is not known: control is off` })

  readonly handle = (): void => {}
}
