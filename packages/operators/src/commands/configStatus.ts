import type { Command } from 'commander'
import type { JsonValue } from '@lovagehoist/common'
import { CommandError, createContext } from '../cli/commandContext.js'
import type { CommandContext, CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { readEnvironment } from '../environment/readRows.js'
import { checkInForce } from '../inForce/checkInForce.js'
import type { InstanceStanding } from '../inForce/checkInForce.js'
import { readAllViews, viewsOfEnvironment } from './readViews.js'
import type { AllViews } from './readViews.js'
import { renderInstances } from './renderInstances.js'

interface EnvironmentStatus {
  readonly name: string
  /** Row of the table; null when there is none or the table did not respond. */
  readonly accepted: EnvironmentRow | null
  /** Newest version that the table or any daemon knows. */
  readonly version: number
  readonly isInForce: boolean
  readonly instances: readonly InstanceStanding[]
}

const statusOf = async (context: CommandContext, name: string, all: AllViews, errors: string[]): Promise<EnvironmentStatus> => {
  const read = await readEnvironment(context.platform, name)
  if (read.isErr()) errors.push(`the table gave no answer: ${read.error.message}`)
  const accepted = read.isOk() ? read.value.value ?? null : null
  const { views, unansweredIds } = viewsOfEnvironment(all, name)
  const version = Math.max(accepted?.version ?? 0, ...views.map(view => view.knownVersion))
  const status = checkInForce({ version, views, unansweredIds, majorityForMs: 0, fenceMs: Number.POSITIVE_INFINITY })
  return { name, accepted, version, isInForce: version > 0 && status.isInForce, instances: status.instances }
}

const renderStatus = ({ name, accepted, version, isInForce, instances }: EnvironmentStatus): string => {
  const source = accepted === null ? 'as daemons know it' : `${accepted.digest} by ${accepted.promotedBy}`
  const title = version === 0 ? `${name}: nothing accepted yet` : `${name}: version ${version}, ${source}`
  if (instances.length === 0) return `${title}\nno daemon of this environment gave its state`
  if (version === 0) return `${title}\n${renderInstances(instances)}`
  const holders = instances.filter(({ standing }) => standing === 'in-force').length
  return `${title}\nin force on ${holders} of ${instances.length} instances${isInForce ? '' : ' (NOT EVERYWHERE)'}\n${renderInstances(instances)}`
}

const showStatus = async (context: CommandContext): Promise<void> => {
  const { settings, admin, printData } = context
  const all = await readAllViews(admin)
  const errors: string[] = [...all.failures]
  const statuses: EnvironmentStatus[] = []
  for (const name of [settings.environments.trial, settings.environments.production]) statuses.push(await statusOf(context, name, all, errors))
  const data = { environments: statuses, errors: [...new Set(errors)] }
  printData(JSON.parse(JSON.stringify(data)) as JsonValue, statuses.map(renderStatus).join('\n\n'))
  for (const error of data.errors) context.printError(error)
  if (statuses.every(({ accepted, instances }) => accepted === null && instances.length === 0) && errors.length > 0) {
    throw new CommandError(ExitCode.unavailable, 'neither the platform nor a daemon gave an answer')
  }
}

/**
 * Adds `config status`.
 *
 * @param config - The `config` command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addConfigStatus = (config: Command, dependencies: CommandDependencies): void => {
  config.command('status')
    .description('show the accepted document of each environment and what every instance holds')
    .addHelpText('after', `
One daemon under "admin" in the settings is enough: it reports what the others hold. While the table is unavailable,
the newest version that daemons know is shown.

Standing of an instance: in-force, lagging (reachable, holds an older version), unreachable (no daemon
that was queried can reach it).

Example:
  lovagehoist config status --json | jq '.environments[] | select(.isInForce | not)'`)
    .action(async (_: unknown, command: Command) => { await showStatus(await createContext(dependencies, command)) })
}
