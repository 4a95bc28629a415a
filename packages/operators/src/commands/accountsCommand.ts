import type { Command } from 'commander'
import type { JsonValue } from '@lovagehoist/common'
import { CommandError, createDataPrinter, readInputFile } from '../cli/commandContext.js'
import type { CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { renderTable } from '../cli/table.js'
import { summarizeAccountUsage } from '../explain/accountUsage.js'
import type { AccountUsageSummary, LimitedPeriod } from '../explain/accountUsage.js'

/** Path that reads standard input. */
const STANDARD_INPUT = '/dev/stdin'
const NONE = '-'

const renderPeriod = ({ from, until }: LimitedPeriod): string => `${from ?? NONE} to ${until ?? NONE}`

const renderSummary = ({ accounts, unknownKeys, unnamedRefusals }: AccountUsageSummary): string => [
  renderTable(['ACCOUNT', 'ANSWERED', 'OVER QUOTA', 'FIRST REFUSED', 'LAST REFUSED', 'LIMITED'], accounts.flatMap(
    ({ account, answered, refused, firstRefusedAt, lastRefusedAt, limitedPeriods }) => {
      const [first = NONE, ...others] = limitedPeriods.map(renderPeriod)
      return [[account, String(answered), String(refused), firstRefusedAt ?? NONE, lastRefusedAt ?? NONE, first], ...others.map(period => ['', '', '', '', '', period])]
    })),
  ...(unnamedRefusals === 0 ? [] : [`${unnamedRefusals} more over quota without the account's name, from daemons of an earlier build`]),
  ...(unknownKeys.length === 0
    ? []
    : ['', renderTable(['UNKNOWN KEY', 'FIRST', 'LAST', 'INSTANCES'], unknownKeys.map(
        ({ keyDigest, firstAt, lastAt, instances }) => [keyDigest, firstAt, lastAt, instances.join(', ')]))])
].join('\n')

const showAccounts = async (dependencies: CommandDependencies, files: readonly string[], command: Command): Promise<void> => {
  const printData = createDataPrinter(dependencies, command)
  const summary = summarizeAccountUsage(await Promise.all((files.length === 0 ? [STANDARD_INPUT] : files).map(readInputFile)))
  if (summary.accounts.length + summary.unknownKeys.length + summary.unnamedRefusals === 0) {
    throw new CommandError(ExitCode.badInput, 'expected logs of daemons whose configuration has client accounts')
  }
  printData(JSON.parse(JSON.stringify(summary)) as JsonValue, renderSummary(summary))
}

/**
 * Adds `accounts`.
 *
 * @param program - Root command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addAccountsCommand = (program: Command, dependencies: CommandDependencies): void => {
  program.command('accounts [files...]')
    .description('show requests, refusals and unknown keys of client accounts, from logs of any number of gateways; standard input without files')
    .addHelpText('after', `
Example:
  lovagehoist accounts gate-*.log`)
    .action(async (files: readonly string[], _: unknown, command: Command) => { await showAccounts(dependencies, files, command) })
}
