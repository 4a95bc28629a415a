import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { sha256Hex } from '@lovagehoist/common'
import type { ClientAccount, Clock, DeploymentLimits, Log } from '@lovagehoist/common'
import { notRunProblem } from '../accept/callerRequest.js'
import type { Problem } from '../responses/problem.js'
import type { AccountIndex } from './accountIndex.js'

/** The accounts of a configuration with its version. */
export interface VersionedAccounts {
  readonly version: number
  readonly index: AccountIndex
}

/** Accounts in force, their age and the bounds of revocation. */
export interface KeyVerifierOptions {
  readonly clock: Clock
  readonly log: Log
  /** Accounts in force; undefined while no configuration is known or it has none. */
  readonly accounts: () => VersionedAccounts | undefined
  /** Time since the store was last confirmed to hold no newer configuration. */
  readonly configAgeMs: () => number
  readonly bounds: () => Pick<DeploymentLimits, 'keyRevocationMs' | 'isKeyRevocationStrict'>
}

/** Time for which a request with an unknown key waits for a newer configuration: daemons tell each other their versions at least every 400 ms, changes at once. */
const MAX_WAIT_MS = 300
const POLL_MS = 20
/** Requests that wait at the same time; beyond it unknown keys are answered at once, so that guessing keys costs the guesser, not the daemon. */
const MAX_WAITING = 8
/** Refused keys that are remembered, as digests, until the next version of the configuration. */
const MAX_REFUSED_KEYS = 1_024
/** Age from which a configuration may lack new keys: relays confirm it at least once a second while they reach the store. */
const MAX_CONFIG_AGE_MS = 2_000
/** Part of the revocation time that is left for requests which are already on their way to a target. */
const REVOCATION_MARGIN_SHARE = 0.2
const RETRY_AFTER_MS = 500
const DIGEST_LENGTH = 8

const unknownKey = (): Problem => notRunProblem('unknown-account', 'no client account holds this key')
const staleConfig = (): Problem => notRunProblem('not-ready', 'the configuration here may be too old to decide on this key', RETRY_AFTER_MS)

/** Short digest of a key for logs. */
export const keyDigest = (key: string): string => sha256Hex(key).slice(0, DIGEST_LENGTH)

/** Decides which client account a key belongs to, also while the configuration may be out of date. */
export class KeyVerifier {
  private readonly refused = new Set<string>()
  private refusedVersion = -1
  private waiting = 0

  private constructor (private readonly options: KeyVerifierOptions) {}

  /**
   * Creates a verifier.
   *
   * @param options - Accounts in force and the bounds of revocation.
   * @returns The verifier.
   */
  static create (options: KeyVerifierOptions): KeyVerifier {
    return new KeyVerifier(options)
  }

  /**
   * Finds the account that holds a key. An unknown key may be new, so the first request with it waits briefly for a newer configuration.
   *
   * @param key - Key of the request.
   * @param disconnectSignal - Aborts when the caller disconnects.
   * @returns The account, or the problem to respond with.
   */
  async verify (key: string, disconnectSignal: AbortSignal): Promise<Result<ClientAccount, Problem>> {
    if (this.isRevocationDue()) return err(staleConfig())
    const account = this.find(key)
    if (account !== undefined) return ok(account)
    const digest = keyDigest(key)
    if (!this.isRefused(digest) && this.waiting < MAX_WAITING) {
      const added = await this.waitForKey(key, disconnectSignal)
      if (added !== undefined) return ok(added)
    }
    if (this.options.configAgeMs() > MAX_CONFIG_AGE_MS) return err(staleConfig())
    this.remember(digest)
    return err(unknownKey())
  }

  private find (key: string): ClientAccount | undefined {
    return this.options.accounts()?.index.findByKey(key)
  }

  /** Whether keys may have been revoked for so long, without this daemon knowing, that it must not accept any. */
  private isRevocationDue (): boolean {
    const { keyRevocationMs, isKeyRevocationStrict } = this.options.bounds()
    return isKeyRevocationStrict && this.options.configAgeMs() > keyRevocationMs * (1 - REVOCATION_MARGIN_SHARE)
  }

  private async waitForKey (key: string, disconnectSignal: AbortSignal): Promise<ClientAccount | undefined> {
    const { clock } = this.options
    const untilMs = clock.monotonicMs() + MAX_WAIT_MS
    this.waiting++
    try {
      let account: ClientAccount | undefined
      while (account === undefined && !disconnectSignal.aborted && clock.monotonicMs() < untilMs) {
        await clock.sleepMs(POLL_MS)
        account = this.find(key)
      }
      return account
    } finally {
      this.waiting--
    }
  }

  private isRefused (digest: string): boolean {
    return this.refusedVersion === this.options.accounts()?.version && this.refused.has(digest)
  }

  private remember (digest: string): void {
    const version = this.options.accounts()?.version ?? -1
    if (version !== this.refusedVersion) this.refused.clear()
    this.refusedVersion = version
    if (this.refused.has(digest) || this.refused.size >= MAX_REFUSED_KEYS) return
    this.refused.add(digest)
    this.options.log.info('unknown key refused', { keyDigest: digest, configVersion: version })
  }
}
