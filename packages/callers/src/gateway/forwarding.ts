import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** Header field that marks a request which another daemon forwarded. */
export const FORWARDING_HEADER = 'lovagehoist-forwarding'

/** What the daemon that received a request from its caller tells the one that sends it to targets. */
export interface Forwarding {
  /** Service selected by the first daemon's traffic split. */
  readonly service: string
  /** Version of the first daemon's configuration; an older one must not decide. */
  readonly configVersion: number
  /** Number of targets to which the request may still be sent. */
  readonly attempts: number
  /** IP address of the caller. */
  readonly callerAddress: string
  /** Name of the client account whose key the first daemon has verified; undefined where none applies, or from earlier builds. */
  readonly account: string | undefined
}

const MAX_LENGTH = 1_000
const DIGITS = /^\d{1,15}$/

/** Encodes the value of the forwarding header field. */
export const encodeForwarding = ({ service, configVersion, attempts, callerAddress, account }: Forwarding): string =>
  new URLSearchParams({ service, config: String(configVersion), attempts: String(attempts), caller: callerAddress, ...(account === undefined ? {} : { account }) }).toString()

/**
 * Decodes the value of the forwarding header field.
 *
 * @param value - Value received.
 * @returns The decoded fields, or the reason why the value is malformed.
 */
export const decodeForwarding = (value: string | readonly string[] | undefined): Result<Forwarding, string> => {
  if (typeof value !== 'string' || value.length > MAX_LENGTH) return err(`${FORWARDING_HEADER} must be one field of at most ${MAX_LENGTH} characters`)
  const fields = new URLSearchParams(value)
  const [service, config, attempts, caller, account = ''] = ['service', 'config', 'attempts', 'caller', 'account'].map(name => fields.get(name) ?? '')
  if (service === undefined || service === '' || !DIGITS.test(config ?? '') || !DIGITS.test(attempts ?? '')) return err(`${FORWARDING_HEADER} must name a service, a configuration version and a number of attempts`)
  return ok({ service, configVersion: Number(config), attempts: Number(attempts), callerAddress: caller ?? '', account: account === '' ? undefined : account })
}
