/** Time for which a copy of a row is acted on after the start of the read that gave it. */
export const COPY_LIFETIME_MS = 30_000
/** Time between two reads of a row that lists targets. */
export const REFRESH_MS = 8_000
/** Time for which an allowance may be used after the start of the write that granted it. */
export const ALLOWANCE_LIFETIME_MS = 7_200_000
/** Age at which a holder renews its allowance. */
export const ALLOWANCE_RENEW_MS = 600_000
/** Time for which a daemon acts on a holder's answer about ejections under its allowance. */
export const USE_LIFETIME_MS = 20_000
/** Time between two calls to a holder that ejects under its allowance. */
export const USE_REFRESH_MS = 6_000
/** Allows for clocks of different daemons that run at slightly different speeds, as a share. */
export const CLOCK_DRIFT_SHARE = 0.01

/**
 * Time after which another daemon's lease is surely over.
 *
 * @param lifetimeMs - Lifetime on the holder's clock.
 * @returns The wait on this daemon's clock, in milliseconds.
 */
export const lapseMs = (lifetimeMs: number): number => lifetimeMs * (1 + CLOCK_DRIFT_SHARE)
