import { compareByTime, parseLogLine } from './logLine.js'
import type { LogLine } from './logLine.js'

/** Time in which daemons admitted only a share of an account's requests; undefined where the logs don't show the begin or the end. */
export interface LimitedPeriod {
  readonly from: string | undefined
  readonly until: string | undefined
}

/** Requests of one client account. */
export interface AccountUsage {
  readonly account: string
  readonly answered: number
  readonly refused: number
  readonly firstRefusedAt: string | undefined
  readonly lastRefusedAt: string | undefined
  readonly limitedPeriods: readonly LimitedPeriod[]
}

/** Refusals of a key that no account holds. */
export interface UnknownKey {
  /** First 8 hexadecimal digits of the key's SHA-256. */
  readonly keyDigest: string
  readonly firstAt: string
  readonly lastAt: string
  readonly instances: readonly string[]
}

/** Usage of all client accounts that logs name. */
export interface AccountUsageSummary {
  readonly accounts: readonly AccountUsage[]
  readonly unknownKeys: readonly UnknownKey[]
  /** Requests over quota in log lines that don't name the account. */
  readonly unnamedRefusals: number
}

const KEY_DIGEST = /^[0-9a-f]{8}$/
const EVENT_MESSAGES: ReadonlySet<string> = new Set(['answered', 'answered by the gateway', 'account limited to its quota', 'account within its quota again', 'unknown key refused'])

const accountOf = ({ fields: { account } }: LogLine): string | undefined => typeof account === 'string' ? account : undefined

/** Times at which the relays of all zones limited an account, merged to periods. */
class LimitedPeriods {
  private readonly ended: LimitedPeriod[] = []
  private readonly limitingInstances = new Set<string>()
  private from: string | undefined

  begin ({ at, instance }: LogLine): void {
    if (this.limitingInstances.size === 0) this.from = at
    this.limitingInstances.add(instance)
  }

  end ({ at, instance }: LogLine): void {
    if (this.limitingInstances.size === 0) {
      // Without a begin in the logs, the later relays that release the account extend the same period.
      const last = this.ended.at(-1)
      if (last !== undefined && last.from === undefined) this.ended.pop()
      if (last === undefined || last.from === undefined) this.ended.push({ from: undefined, until: at })
      return
    }
    // A relay that took over releases an account that its predecessor limited.
    const [longestLimiting = instance] = this.limitingInstances
    this.limitingInstances.delete(this.limitingInstances.has(instance) ? instance : longestLimiting)
    if (this.limitingInstances.size === 0) this.ended.push({ from: this.from, until: at })
  }

  all (): readonly LimitedPeriod[] {
    return this.limitingInstances.size === 0 ? this.ended : [...this.ended, { from: this.from, until: undefined }]
  }
}

class AccountRecord {
  readonly periods = new LimitedPeriods()
  answered = 0
  refused = 0
  firstRefusedAt: string | undefined
  lastRefusedAt: string | undefined

  constructor (readonly account: string) {}

  refuse (at: string): void {
    this.refused++
    this.firstRefusedAt ??= at
    this.lastRefusedAt = at
  }

  summarize (): AccountUsage {
    const { account, answered, refused, firstRefusedAt, lastRefusedAt } = this
    return { account, answered, refused, firstRefusedAt, lastRefusedAt, limitedPeriods: this.periods.all() }
  }
}

/** Sums up log lines, which must come in order of time. */
class UsageCollector {
  private readonly records = new Map<string, AccountRecord>()
  private readonly unknownKeys = new Map<string, { firstAt: string, lastAt: string, readonly instances: Set<string> }>()
  private readonly answeringInstances = new Map<string, string>()
  private unnamedRefusals = 0
  private readonly handlers: Readonly<Record<string, (line: LogLine) => void>> = {
    answered: line => { this.addAnswered(line) },
    'answered by the gateway': line => { if (line.fields.problem === 'over-quota') this.addRefused(line) },
    'account limited to its quota': line => { this.recordOf(line)?.periods.begin(line) },
    'account within its quota again': line => { this.recordOf(line)?.periods.end(line) },
    'unknown key refused': line => { this.addUnknownKey(line) }
  }

  add (line: LogLine): void {
    this.handlers[line.message]?.(line)
  }

  summarize (): AccountUsageSummary {
    return {
      accounts: [...this.records.values()].map(record => record.summarize()).sort((a, b) => b.refused - a.refused || b.answered - a.answered || (a.account < b.account ? -1 : 1)),
      unknownKeys: [...this.unknownKeys].map(([keyDigest, { firstAt, lastAt, instances }]) => ({ keyDigest, firstAt, lastAt, instances: [...instances].sort() })),
      unnamedRefusals: this.unnamedRefusals
    }
  }

  private recordOf (line: LogLine): AccountRecord | undefined {
    const account = accountOf(line)
    if (account === undefined) return undefined
    const record = this.records.get(account) ?? new AccountRecord(account)
    this.records.set(account, record)
    return record
  }

  /** Counts an answer; both daemons of a forwarded request log it, which counts once. */
  private addAnswered (line: LogLine): void {
    const record = this.recordOf(line)
    if (record === undefined) return
    const { requestId } = line.fields
    if (typeof requestId === 'string' && requestId !== '') {
      const instance = this.answeringInstances.get(requestId)
      if (instance !== undefined && instance !== line.instance) return
      this.answeringInstances.set(requestId, line.instance)
    }
    record.answered++
  }

  private addRefused (line: LogLine): void {
    const record = this.recordOf(line)
    if (record === undefined) this.unnamedRefusals++
    else record.refuse(line.at)
  }

  private addUnknownKey ({ at, instance, fields: { keyDigest } }: LogLine): void {
    // Anything longer than a digest might be a key.
    if (typeof keyDigest !== 'string' || !KEY_DIGEST.test(keyDigest)) return
    const known = this.unknownKeys.get(keyDigest) ?? { firstAt: at, lastAt: at, instances: new Set<string>() }
    known.lastAt = at
    known.instances.add(instance)
    this.unknownKeys.set(keyDigest, known)
  }
}

/**
 * Sums up what the logs of any number of daemons tell of client accounts.
 *
 * @param texts - Contents of the log files.
 * @returns Usage by account, those with the most refusals first; unknown keys in order of their first refusal.
 */
export const summarizeAccountUsage = (texts: readonly string[]): AccountUsageSummary => {
  const lines = texts.flatMap(text => text.split('\n').flatMap(row => {
    const line = parseLogLine(row)
    return line === undefined || !EVENT_MESSAGES.has(line.message) ? [] : [line]
  })).sort(compareByTime)
  const collector = new UsageCollector()
  for (const line of lines) collector.add(line)
  return collector.summarize()
}
