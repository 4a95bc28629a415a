import type { FleetReach } from './accountBucket.js'

/** Role of this daemon in the fleet, as the exchange between daemons knows it. */
export interface FleetRole {
  /** Rank among the relays of the zone: 0 for the first, -1 if it is not a relay. */
  readonly relayRank: () => number
  /** Availability zones of the deployment, the own one included. */
  readonly zones: () => readonly string[]
  /** Time since any daemon of a zone was heard from, in milliseconds. */
  readonly zoneSilenceMs: (zone: string) => number
  /** Time since a relay's view arrived, in milliseconds. */
  readonly viewAgeMs: () => number
  /** Daemons of the fleet that are known, this one included. */
  readonly knownDaemons: () => number
  /** Daemons of the own zone that are known, and those among them that were heard from lately. */
  readonly zoneDaemons: () => { readonly known: number, readonly heard: number }
}

/** Silence of a zone after which it counts as cut off; zones send a message every 0.8 s. */
const CUT_OFF_MS = 2_600
/** The same for accounts that are near their limit, whose usage zones tell every 0.2 s. */
const NEAR_CUT_OFF_MS = 700
/** Silence up to which what is known of a zone counts as recent. */
const RECENT_MS = 100
/** Time for which the reach is kept, since it takes a look at all known daemons. */
const REFRESH_MS = 25
/** Part of a zone's daemons below which a relay counts as separated from the rest of its zone. */
const MINORITY = 0.5

interface ReachState {
  readonly atMs: number
  readonly heard: readonly string[]
  readonly heardRecently: readonly string[]
  readonly isRecent: boolean
  readonly ownPart: number
}

/**
 * Derives which parts of the fleet a relay hears from.
 *
 * @param role - Role in the fleet.
 * @param ownZone - Availability zone of this daemon.
 * @param nowMs - Source of monotonic time.
 */
export const createFleetReach = (role: FleetRole, ownZone: string, nowMs: () => number): FleetReach => {
  const startedAtMs = nowMs()
  let cached: ReachState | undefined
  const read = (atMs: number): ReachState => {
    const { known, heard } = role.zoneDaemons()
    // A zone that was never heard from is silent since this process started.
    const silences = role.zones().filter(zone => zone !== ownZone).map(zone => [zone, Math.min(role.zoneSilenceMs(zone), atMs - startedAtMs)] as const)
    const heardWithin = (durationMs: number): readonly string[] => silences.filter(([, silenceMs]) => silenceMs <= durationMs).map(([zone]) => zone)
    return { atMs, heard: heardWithin(CUT_OFF_MS), heardRecently: heardWithin(NEAR_CUT_OFF_MS), isRecent: heardWithin(RECENT_MS).length === silences.length, ownPart: heard < MINORITY * known ? heard / known : 1 }
  }
  const current = (): ReachState => {
    const atMs = nowMs()
    if (cached === undefined || atMs - cached.atMs >= REFRESH_MS) cached = read(atMs)
    return cached
  }
  return {
    get zones () { return Math.max(1, role.zones().length) },
    heardZones: needsRecent => needsRecent ? current().heardRecently : current().heard,
    isRecent: () => current().isRecent,
    ownPart: () => current().ownPart
  }
}
