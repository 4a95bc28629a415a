import type { ClientAccount } from '@lovagehoist/common'

/** Looks up the client accounts of a configuration by key and by name. */
export class AccountIndex {
  private constructor (
    private readonly byKey: ReadonlyMap<string, ClientAccount>,
    private readonly byName: ReadonlyMap<string, ClientAccount>
  ) {}

  /**
   * Indexes the accounts of a configuration.
   *
   * @param accounts - Accounts; where two hold the same key, the first one has it.
   * @returns The index.
   */
  static create (accounts: readonly ClientAccount[]): AccountIndex {
    const byKey = new Map<string, ClientAccount>()
    for (const account of accounts) for (const key of account.keys) if (!byKey.has(key)) byKey.set(key, account)
    return new AccountIndex(byKey, new Map(accounts.map(account => [account.name, account])))
  }

  /** Returns the account that holds a key; undefined if none does. */
  findByKey (key: string): ClientAccount | undefined {
    return this.byKey.get(key)
  }

  /** Returns the account of a name; undefined if the configuration has none. */
  findByName (name: string): ClientAccount | undefined {
    return this.byName.get(name)
  }

  /** All accounts, in the order of the configuration. */
  all (): readonly ClientAccount[] {
    return [...this.byName.values()]
  }
}
