import type { Command } from 'commander'
import type { JsonValue } from '@lovagehoist/common'
import { CommandError, createDataPrinter, readInputFile } from '../cli/commandContext.js'
import type { CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { collectRequestTimeline } from '../explain/requestTimeline.js'
import type { LogLine, RequestTimeline } from '../explain/requestTimeline.js'

/** Path that reads standard input. */
const STANDARD_INPUT = '/dev/stdin'

const renderLine = ({ at, instance, message, fields }: LogLine): string => {
  const { requestId: _, ...rest } = fields
  return `${at} ${instance} ${message} ${JSON.stringify(rest)}`
}

const renderTimeline = ({ requestId, lines, around, ending }: RequestTimeline): string => [
  `request ${requestId}: ${ending}`,
  ...lines.map(renderLine),
  ...(around.length === 0 ? [] : ['its targets, shortly before and after:', ...around.map(renderLine)])
].join('\n')

const explain = async (dependencies: CommandDependencies, requestId: string, files: readonly string[], command: Command): Promise<void> => {
  const printData = createDataPrinter(dependencies, command)
  const texts = await Promise.all((files.length === 0 ? [STANDARD_INPUT] : files).map(readInputFile))
  const timeline = collectRequestTimeline(texts.join('\n'), requestId)
  if (timeline.lines.length === 0) throw new CommandError(ExitCode.badInput, `${requestId}: expected the id of a request that these logs name`)
  printData(JSON.parse(JSON.stringify(timeline)) as JsonValue, renderTimeline(timeline))
}

/**
 * Adds `explain`.
 *
 * @param program - Root command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addExplainCommand = (program: Command, dependencies: CommandDependencies): void => {
  program.command('explain <request-id> [files...]')
    .description('show what happened to a request, from logs of any number of daemons; standard input without files')
    .addHelpText('after', `
Example:
  lovagehoist explain 9c41d07be2a35f68 gate-*.log`)
    .action(async (requestId: string, files: readonly string[], _: unknown, command: Command) => { await explain(dependencies, requestId, files, command) })
}
