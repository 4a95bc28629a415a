import type { Command } from 'commander'
import { CommandError, createContext } from '../cli/commandContext.js'
import type { CommandContext, CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { parseWholeNumber } from '../cli/parseWholeNumber.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { readEnvironment } from '../environment/readRows.js'
import { promote } from '../promotion/promote.js'
import { unavailableError } from '../promotion/promotionError.js'
import { promotionFailure } from './promotionFailure.js'
import { waitInForce } from './waitInForce.js'

interface PromoteOptions {
  readonly seen?: number
  readonly timeout: number
}

const MS_PER_SECOND = 1_000
const DEFAULT_TIMEOUT_SECONDS = 30

/** Promotes the digest, unless the production environment has already accepted it. */
const acceptInProduction = async (context: CommandContext, digest: string, seen: number | undefined): Promise<EnvironmentRow> => {
  const { platform, clock, random, settings } = context
  const environment = settings.environments.production
  const current = await readEnvironment(platform, environment)
  if (current.isErr()) throw promotionFailure(unavailableError(current.error))
  if (current.value.value?.digest === digest) return current.value.value
  const promoted = await promote({ platform, clock, random }, {
    environment,
    digest,
    operationId: random.id(),
    promotedBy: settings.operator,
    trialEnvironment: settings.environments.trial,
    ...(seen === undefined ? {} : { seenVersion: seen })
  })
  if (promoted.isErr()) throw promotionFailure(promoted.error)
  return promoted.value
}

const promoteDigest = async (context: CommandContext, digest: string, options: PromoteOptions): Promise<void> => {
  const { settings, printData } = context
  if (!/^[0-9a-f]{64}$/.test(digest)) throw new CommandError(ExitCode.badInput, `${digest}: expected a digest of 64 hexadecimal digits, as "config trial" prints it`)
  const environment = settings.environments.production
  const row = await acceptInProduction(context, digest, options.seen)
  const { version, operationId } = row
  context.printError(`version ${version} is the one of ${environment}; waiting for its instances`)
  const { instances, waitedMs } = await waitInForce(context, environment, row, options.timeout * MS_PER_SECOND)
  const outOfService = instances.filter(({ standing }) => standing === 'out-of-service').map(({ instanceId }) => instanceId)
  const data = { environment, version, digest, operationId, isInForce: true, instances: instances.length, outOfService, waitedMs: Math.round(waitedMs) }
  const suffix = outOfService.length === 0 ? '' : `; out of service until they catch up: ${outOfService.join(', ')}`
  printData(data, `version ${version} is accepted: in force on ${instances.length - outOfService.length} of ${instances.length} instances after ${data.waitedMs} ms${suffix}`)
}

/**
 * Adds `config promote`.
 *
 * @param config - The `config` command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addConfigPromote = (config: Command, dependencies: CommandDependencies): void => {
  config.command('promote <digest>')
    .description('put a document that held in trial into force in production')
    .option('--seen <version>', 'production version to replace; without it the one that was there at the trial', parseWholeNumber)
    .option('--timeout <seconds>', 'time in which it has to be in force on every instance', parseWholeNumber, DEFAULT_TIMEOUT_SECONDS)
    .addHelpText('after', `
Of promotions over the same version exactly one wins; the others end with code 3 and report the winner. If a response
is lost, the outcome is read from the table, so the command never has to be repeated to find out.

Examples:
  lovagehoist config promote 5f3c...e1
  lovagehoist config promote 5f3c...e1 --seen 41`)
    .action(async (digest: string, options: PromoteOptions, command: Command) => { await promoteDigest(await createContext(dependencies, command), digest, options) })
}
