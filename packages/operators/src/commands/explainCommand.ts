import type { Command } from 'commander'
import type { JsonValue } from '@lovagehoist/common'
import { CommandFailure, createShow, readInput } from '../cli/context.js'
import type { CommandWorld } from '../cli/context.js'
import { ExitCode } from '../cli/exitCode.js'
import { tellRequest } from '../explain/requestStory.js'
import type { LogLine, RequestStory } from '../explain/requestStory.js'

/** Name of standard input among the files. */
const STANDARD_INPUT = '/dev/stdin'

const render = ({ at, instance, message, fields }: LogLine): string => {
  const { requestId: _, ...rest } = fields
  return `${at} ${instance} ${message} ${JSON.stringify(rest)}`
}

const renderStory = ({ requestId, lines, around, ending }: RequestStory): string => [
  `request ${requestId}: ${ending}`,
  ...lines.map(render),
  ...(around.length === 0 ? [] : ['its targets, shortly before and after:', ...around.map(render)])
].join('\n')

const explain = async (world: CommandWorld, requestId: string, files: readonly string[], command: Command): Promise<void> => {
  const show = createShow(world, command)
  const texts = await Promise.all((files.length === 0 ? [STANDARD_INPUT] : files).map(readInput))
  const story = tellRequest(texts.join('\n'), requestId)
  if (story.lines.length === 0) throw new CommandFailure(ExitCode.badInput, `${requestId}: expected the id of a request that these logs name`)
  show(JSON.parse(JSON.stringify(story)) as JsonValue, renderStory(story))
}

/**
 * Adds `explain`.
 *
 * @param program - The whole command line.
 * @param world - What commands reach the world through.
 */
export const addExplainCommand = (program: Command, world: CommandWorld): void => {
  program.command('explain <request-id> [files...]')
    .description('tell what happened to a request, from logs of any number of daemons; standard input without files')
    .addHelpText('after', `
Example:
  lovagehoist explain 9c41d07be2a35f68 gate-*.log`)
    .action(async (requestId: string, files: readonly string[], _: unknown, command: Command) => { await explain(world, requestId, files, command) })
}
