/** Processor share that relaying for a zone of some hundred daemons takes, with room for requests; see docs/CAPACITY.md. */
const RELAY_CORES = 0.5
/** Bandwidth that leaves most of the link to requests while all daemons of a zone get views. */
const RELAY_MBPS = 100

/**
 * Tells how much of a relay's work a machine can carry.
 *
 * @param machine - Its processor share and link.
 * @returns From 0 to 1; 1 for all that have enough of both.
 */
export const fitnessOf = ({ cores, linkMbps }: { readonly cores: number, readonly linkMbps: number }): number =>
  Math.min(1, cores / RELAY_CORES, linkMbps / RELAY_MBPS)
