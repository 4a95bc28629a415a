/** Lease of a cached row: it may be acted on for this long after the read or write that returned it was started. */
export const CACHED_ROW_LIFETIME_MS = 30_000
/** Interval between reads of a row that has ejection entries, or that this daemon is a detector for. */
export const ROW_REFRESH_INTERVAL_MS = 8_000
/** Lease of an allowance: it may be used for this long after the write that granted it was started. */
export const ALLOWANCE_LIFETIME_MS = 7_200_000
/** Age at which the holder of an allowance renews it. */
export const ALLOWANCE_RENEWAL_AGE_MS = 600_000
/** Lease of another daemon's ejections: they may be acted on for this long after the call that fetched them was started. */
export const PEER_EJECTION_LIFETIME_MS = 20_000
/** Interval between calls to a daemon that ejects targets under its allowance. */
export const PEER_EJECTION_REFRESH_INTERVAL_MS = 6_000
/** Largest difference assumed between the clock rates of two daemons, as a share. */
export const CLOCK_DRIFT_SHARE = 0.01

/**
 * Computes how long to wait until another daemon's lease has certainly expired, clock drift included.
 *
 * @param lifetimeMs - Duration of the lease on its holder's clock.
 * @returns Time to wait on this daemon's clock, in milliseconds.
 */
export const safeExpiryMs = (lifetimeMs: number): number => lifetimeMs * (1 + CLOCK_DRIFT_SHARE)
