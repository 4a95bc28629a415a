import type { Clock, FleetTargetStats, InstanceRecord, LimitExchange, Log, NewsTopic, PerTarget, TargetCounters } from '@lovagehoist/common'
import type { Datagrams } from './datagrams.js'
import type { HeldVersions, ReadAges, RelayMessage } from './messages.js'

/** Per-target counters of the requests that this daemon sends. */
export interface LocalCounters {
  /** Registers the listener for changes; failures are urgent. */
  readonly onChange: (listener: (isUrgent: boolean) => void) => void
  /** Collects the counters that changed within the given time, or all of them, and marks them as reported. */
  readonly collectCounters: (changedWithinMs?: number) => PerTarget<TargetCounters>
  /** Number of targets with counters; does not mark anything as reported. */
  readonly countTargets: () => number
  /** Applies stats aggregated over the fleet. */
  readonly applyFleetStats: (stats: PerTarget<FleetTargetStats>) => void
}

/** Merges the counters of all daemons and zones into totals by target. */
export interface FleetStats {
  /** Merges the counters of one daemon; returns whether they are urgent (new failures, or a target in use again) and are forwarded at once. */
  readonly applyDaemonReport: (startId: string, counters: PerTarget<TargetCounters>, isFull: boolean, uptimeMs: number) => boolean
  /** Merges the totals of another zone; returns whether they contain new failures. */
  readonly applyZoneReport: (zone: string, counters: PerTarget<TargetCounters>, isFull: boolean) => boolean
  /** Totals over the daemons of this zone. */
  readonly ownZoneCounters: () => PerTarget<TargetCounters>
  /** Stats of each target, computed from the reports of all daemons and zones. */
  readonly targetStats: () => PerTarget<FleetTargetStats>
  /** Drops the counters of daemons and zones that stopped reporting. */
  readonly sweep: () => void
}

/** Options of a relay node. */
export interface RelayNodeOptions {
  readonly self: InstanceRecord
  /** Hosts that receive this daemon's reports while it knows no other daemon. */
  readonly bootstrapHosts: () => readonly string[]
  readonly clock: Clock
  readonly log: Log
  readonly datagrams: Datagrams
  readonly localCounters: LocalCounters
  readonly fleetStats: FleetStats
  /** Knowledge that all daemons share. */
  readonly news: readonly NewsTopic[]
  readonly limits: LimitExchange
  /** Versions that this daemon holds, with the ages of its own reads of the store, of the latest reads by daemons of its zone, or of the latest reads that it knows of. */
  readonly heldVersions: (ages: 'own' | 'zone' | 'known') => HeldVersions
  /** Called with the versions that another daemon holds, for each message received from it. */
  readonly onPeerVersions: (versions: HeldVersions, from: InstanceRecord, message: RelayMessage['type']) => void
  /** Called with the ages of a daemon's own reads, for each report that tells them; returns whether the others of the zone should hear of them at once. */
  readonly onReportedReads: (reads: ReadAges, versions: HeldVersions, from: InstanceRecord) => boolean
}
