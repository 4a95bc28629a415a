import type { Command } from 'commander'
import type { JsonValue } from '@lovagehoist/common'
import { CommandError, createContext } from '../cli/commandContext.js'
import type { CommandContext, CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { parseWholeNumber } from '../cli/parseWholeNumber.js'
import { renderTable, shortDigest } from '../cli/table.js'
import { HISTORY_TABLE, environmentRowSchema, historyKey } from '../environment/environmentRow.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { readEnvironment, readRow } from '../environment/readRows.js'

interface HistoryOptions {
  readonly environment?: string
  readonly limit: number
}

const DEFAULT_LIMIT = 20
const MAX_LIMIT = 1_000

const unavailableError = (message: string): CommandError => new CommandError(ExitCode.unavailable, message)

const readHistory = async ({ platform }: CommandContext, environment: string, limit: number): Promise<readonly EnvironmentRow[]> => {
  const newest = await readEnvironment(platform, environment)
  if (newest.isErr()) throw unavailableError(newest.error.message)
  const last = newest.value.value?.version ?? 0
  const versions = Array.from({ length: Math.min(limit, last, MAX_LIMIT) }, (_, index) => last - index)
  const rows: EnvironmentRow[] = []
  for (const version of versions) {
    const row = await readRow(platform, HISTORY_TABLE, historyKey(environment, version), environmentRowSchema)
    if (row.isErr()) throw unavailableError(row.error.message)
    if (row.value.value !== undefined) rows.push(row.value.value)
  }
  return rows
}

const showHistory = async (context: CommandContext, options: HistoryOptions): Promise<void> => {
  const environment = options.environment ?? context.settings.environments.production
  const rows = await readHistory(context, environment, options.limit)
  const data = { environment, promotions: rows.map(row => ({ ...row, promotedAt: promotionTimeOf(row) })) }
  context.printData(JSON.parse(JSON.stringify(data)) as JsonValue, renderTable(
    ['VERSION', 'DIGEST', 'REPLACED', 'BY', 'AT'],
    rows.map(row => [String(row.version), shortDigest(row.digest), shortDigest(row.previousDigest), row.promotedBy, promotionTimeOf(row)])
  ))
}

// eslint-disable-next-line no-restricted-globals -- formats a time that is stored in the row
const promotionTimeOf = (row: EnvironmentRow): string => new Date(row.promotedAtMs).toISOString()

/**
 * Adds `config history`.
 *
 * @param config - The `config` command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addConfigHistory = (config: Command, dependencies: CommandDependencies): void => {
  config.command('history')
    .description('show the latest promotions of an environment, newest first')
    .option('--environment <name>', 'environment; production when absent')
    .option('--limit <count>', `promotions to show, at most ${MAX_LIMIT}`, parseWholeNumber, DEFAULT_LIMIT)
    .addHelpText('after', `
Example:
  lovagehoist config history --limit 5`)
    .action(async (options: HistoryOptions, command: Command) => { await showHistory(await createContext(dependencies, command), options) })
}
