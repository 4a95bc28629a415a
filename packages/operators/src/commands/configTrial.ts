import type { Command } from 'commander'
import { CommandFailure, openContext, readInput } from '../cli/context.js'
import type { CommandContext, CommandWorld } from '../cli/context.js'
import { ExitCode } from '../cli/exitCode.js'
import { wholeNumber } from '../cli/numberOption.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { readEnvironment } from '../environment/readRows.js'
import { judgeInForce } from '../inForce/judge.js'
import { promote, storeDocument } from '../promotion/promote.js'
import { unavailable } from '../promotion/promotionError.js'
import { recordTrial } from '../promotion/recordTrial.js'
import { failureOf } from './failures.js'
import { readAllViews, viewsOf } from './readViews.js'
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

/** A document that the trial environment already accepted is not promoted a second time. */
const acceptInTrial = async (context: CommandContext, digest: string): Promise<EnvironmentRow> => {
  const { platform, clock, random, settings } = context
  const environment = settings.environments.trial
  const found = await readEnvironment(platform, environment)
  if (found.isErr()) throw failureOf(unavailable(found.error))
  const before = found.value.value
  if (before?.digest === digest) return before
  const won = await promote({ platform, clock, random }, {
    environment, digest, operationId: random.id(), promotedBy: settings.operator, seenVersion: before?.version ?? 0
  })
  if (won.isErr()) throw failureOf(won.error)
  return won.value
}

const holdInTrial = async (context: CommandContext, row: EnvironmentRow, holdMs: number): Promise<number> => {
  const { clock, admin, settings } = context
  const startedAtMs = clock.monotonicMs()
  let instances = 0
  for (;;) {
    const { views, silent } = viewsOf(await readAllViews(admin), settings.environments.trial)
    const judged = judgeInForce({ version: row.version, views, silent, majorityForMs: 0, fenceMs: Number.POSITIVE_INFINITY })
    const holders = judged.instances.filter(instance => instance.version === row.version && instance.isReady)
    if (!judged.isInForce || holders.length < judged.instances.length) {
      throw new CommandFailure(ExitCode.notInForce, `version ${row.version} did not hold in trial on every instance\n${renderMissing(judged.instances)}`)
    }
    instances = holders.length
    const leftMs = startedAtMs + holdMs - clock.monotonicMs()
    if (leftMs <= 0) return instances
    await clock.sleepMs(Math.min(HOLD_POLL_MS, leftMs))
  }
}

const tryDocument = async (context: CommandContext, file: string, options: TrialOptions): Promise<void> => {
  const { platform, clock, random, settings, show } = context
  const stored = await storeDocument(platform, file, Buffer.from(await readInput(file)))
  if (stored.isErr()) throw failureOf(stored.error)
  const row = await acceptInTrial(context, stored.value)
  context.printError(`version ${row.version} is the one of ${settings.environments.trial}; waiting for its instances`)
  await waitInForce(context, settings.environments.trial, row, options.timeout * MS_PER_SECOND)
  const heldMs = options.hold * MS_PER_SECOND
  const instances = await holdInTrial(context, row, heldMs)
  const recorded = await recordTrial(platform, clock, {
    trialEnvironment: settings.environments.trial,
    productionEnvironment: settings.environments.production,
    accepted: row,
    instances,
    heldMs,
    recordedBy: settings.operator,
    operationId: random.id()
  })
  if (recorded.isErr()) throw failureOf(recorded.error)
  const { environment, digest, version, productionVersion } = recorded.value
  show({ environment, digest, version, instances, heldMs, productionVersion },
    `version ${version} held in ${environment} on ${instances} instances for ${options.hold} s\nto put the same bytes into production: lovagehoist config promote ${digest}`)
}

/**
 * Adds `config trial`.
 *
 * @param config - The `config` command.
 * @param world - What commands reach the world through.
 */
export const addConfigTrial = (config: Command, world: CommandWorld): void => {
  config.command('trial <file>')
    .description('store a document, put it into force in the trial environment and record that it held there')
    .option('--hold <seconds>', 'time for which every trial instance has to hold it', wholeNumber, DEFAULT_HOLD_SECONDS)
    .option('--timeout <seconds>', 'time in which it has to be in force on every trial instance', wholeNumber, DEFAULT_TIMEOUT_SECONDS)
    .addHelpText('after', `
Prints the digest under which the same bytes can be promoted.

Example:
  lovagehoist config trial umuriro.jsonc --hold 600`)
    .action(async (file: string, options: TrialOptions, command: Command) => { await tryDocument(await openContext(world, command), file, options) })
}
