/** CPU cores needed to relay for a zone of a few hundred daemons and still serve requests; see docs/CAPACITY.md. */
const REQUIRED_CORES = 0.5
/** Bandwidth that leaves most of the link to requests while every daemon of the zone is sent views. */
const REQUIRED_LINK_MBPS = 100

/**
 * Rates how well a machine can serve as a relay; the scarcer of CPU and bandwidth decides.
 *
 * @param machine - CPU cores and link bandwidth.
 * @returns Fitness from 0 to 1; 1 if both are sufficient.
 */
export const relayFitnessOf = ({ cores, linkMbps }: { readonly cores: number, readonly linkMbps: number }): number =>
  Math.min(1, cores / REQUIRED_CORES, linkMbps / REQUIRED_LINK_MBPS)
