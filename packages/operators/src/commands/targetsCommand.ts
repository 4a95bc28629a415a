import type { Command } from 'commander'
import { z } from 'zod'
import type { JsonValue } from '@lovagehoist/common'
import { CommandError, createContext } from '../cli/commandContext.js'
import type { CommandContext, CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { renderTable } from '../cli/table.js'
import { callAnyDaemon } from './callDaemon.js'

interface TargetsOptions {
  readonly from?: string
}

const targetsResponseSchema = z.object({
  targets: z.array(z.object({
    id: z.string(),
    availabilityZone: z.string(),
    host: z.string(),
    port: z.number(),
    slots: z.number(),
    isLeaving: z.boolean(),
    status: z.string(),
    weight: z.number(),
    idempotentOnly: z.boolean()
  }))
})

const PERCENT = 100

const readTargets = async (context: CommandContext, service: string, { from }: TargetsOptions): Promise<JsonValue> => {
  const call = { method: 'GET', path: `/targets/${encodeURIComponent(service)}` } as const
  if (from === undefined) return await callAnyDaemon(context, call)
  const result = await context.admin.call(from, call)
  if (result.isErr()) throw new CommandError(ExitCode.unavailable, result.error.message)
  return result.value
}

const showTargets = async (context: CommandContext, service: string, options: TargetsOptions): Promise<void> => {
  const response = targetsResponseSchema.safeParse(await readTargets(context, service, options))
  if (!response.success) throw new CommandError(ExitCode.unavailable, 'the daemon answered in a shape that this version does not know')
  const targets = response.data.targets.sort((a, b) => a.id < b.id ? -1 : 1)
  context.printData({ service, targets }, renderTable(
    ['TARGET', 'ZONE', 'ADDRESS', 'SLOTS', 'STATUS', 'WEIGHT', 'WORK'],
    targets.map(target => [
      target.id, target.availabilityZone, `${target.host}:${target.port}`, String(target.slots), target.isLeaving ? 'leaving' : target.status,
      `${Math.round(target.weight * PERCENT)}%`, target.idempotentOnly ? 'idempotent' : 'all'
    ])
  ))
}

/**
 * Adds `targets`.
 *
 * @param program - Root command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addTargetsCommand = (program: Command, dependencies: CommandDependencies): void => {
  program.command('targets <service>')
    .description('list the targets of a service with the rating that a daemon gives them')
    .option('--from <instance>', 'daemon to ask; the first that answers when absent')
    .addHelpText('after', `
WEIGHT is the share of the load that a healthy target would get; WORK shows whether only idempotent requests go there.

Example:
  lovagehoist targets sackpay --from daemon-3`)
    .action(async (service: string, options: TargetsOptions, command: Command) => { await showTargets(await createContext(dependencies, command), service, options) })
}
