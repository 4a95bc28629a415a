import type { Command } from 'commander'
import { CommandError, createContext, readInputFile } from '../cli/commandContext.js'
import type { CommandContext, CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { parseWholeNumber } from '../cli/parseWholeNumber.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { readEnvironment } from '../environment/readRows.js'
import { checkInForce } from '../inForce/checkInForce.js'
import { promote, storeDocument } from '../promotion/promote.js'
import { unavailableError } from '../promotion/promotionError.js'
import { recordTrial } from '../promotion/recordTrial.js'
import { promotionFailure } from './promotionFailure.js'
import { readAllViews, viewsOfEnvironment } from './readViews.js'
import { renderMissing } from './renderInstances.js'
import { waitInForce } from './waitInForce.js'

interface TrialOptions {
  readonly hold: number
  readonly timeout: number
}

const MS_PER_SECOND = 1_000
const HOLD_POLL_MS = 1_000
const DEFAULT_HOLD_SECONDS = 10
const DEFAULT_TIMEOUT_SECONDS = 30

/** Promotes the digest, unless the trial environment has already accepted it. */
const acceptInTrial = async (context: CommandContext, digest: string): Promise<EnvironmentRow> => {
  const { platform, clock, random, settings } = context
  const environment = settings.environments.trial
  const current = await readEnvironment(platform, environment)
  if (current.isErr()) throw promotionFailure(unavailableError(current.error))
  const currentRow = current.value.value
  if (currentRow?.digest === digest) return currentRow
  const promoted = await promote({ platform, clock, random }, {
    environment, digest, operationId: random.id(), promotedBy: settings.operator, seenVersion: currentRow?.version ?? 0
  })
  if (promoted.isErr()) throw promotionFailure(promoted.error)
  return promoted.value
}

/** Polls until every trial instance has kept the version in force for `holdMs`; returns the number of instances. */
const verifyHold = async (context: CommandContext, row: EnvironmentRow, holdMs: number): Promise<number> => {
  const { clock, admin, settings } = context
  const startedAtMs = clock.monotonicMs()
  let instances = 0
  for (;;) {
    const { views, unansweredIds } = viewsOfEnvironment(await readAllViews(admin), settings.environments.trial)
    const status = checkInForce({ version: row.version, views, unansweredIds, majorityForMs: 0, fenceMs: Number.POSITIVE_INFINITY })
    const holders = status.instances.filter(instance => instance.version === row.version && instance.isReady)
    if (!status.isInForce || holders.length < status.instances.length) {
      throw new CommandError(ExitCode.notInForce, `version ${row.version} did not hold in trial on every instance\n${renderMissing(status.instances)}`)
    }
    instances = holders.length
    const remainingMs = startedAtMs + holdMs - clock.monotonicMs()
    if (remainingMs <= 0) return instances
    await clock.sleepMs(Math.min(HOLD_POLL_MS, remainingMs))
  }
}

const runTrial = async (context: CommandContext, file: string, options: TrialOptions): Promise<void> => {
  const { platform, clock, random, settings, printData } = context
  const stored = await storeDocument(platform, file, Buffer.from(await readInputFile(file)))
  if (stored.isErr()) throw promotionFailure(stored.error)
  const row = await acceptInTrial(context, stored.value)
  context.printError(`version ${row.version} is the one of ${settings.environments.trial}; waiting for its instances`)
  await waitInForce(context, settings.environments.trial, row, options.timeout * MS_PER_SECOND)
  const heldMs = options.hold * MS_PER_SECOND
  const instances = await verifyHold(context, row, heldMs)
  const recorded = await recordTrial(platform, clock, {
    trialEnvironment: settings.environments.trial,
    productionEnvironment: settings.environments.production,
    accepted: row,
    instances,
    heldMs,
    recordedBy: settings.operator,
    operationId: random.id()
  })
  if (recorded.isErr()) throw promotionFailure(recorded.error)
  const { environment, digest, version, productionVersion } = recorded.value
  printData({ environment, digest, version, instances, heldMs, productionVersion },
    `version ${version} held in ${environment} on ${instances} instances for ${options.hold} s\nto put the same bytes into production: lovagehoist config promote ${digest}`)
}

/**
 * Adds `config trial`.
 *
 * @param config - The `config` command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addConfigTrial = (config: Command, dependencies: CommandDependencies): void => {
  config.command('trial <file>')
    .description('store a document, put it into force in the trial environment and record that it held there')
    .option('--hold <seconds>', 'time for which every trial instance has to hold it', parseWholeNumber, DEFAULT_HOLD_SECONDS)
    .option('--timeout <seconds>', 'time in which it has to be in force on every trial instance', parseWholeNumber, DEFAULT_TIMEOUT_SECONDS)
    .addHelpText('after', `
Prints the digest under which the same bytes can be promoted.

Example:
  lovagehoist config trial umuriro.jsonc --hold 600`)
    .action(async (file: string, options: TrialOptions, command: Command) => { await runTrial(await createContext(dependencies, command), file, options) })
}
