import { CommandError } from '../cli/commandContext.js'
import type { CommandContext } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { awaitInForce } from '../inForce/awaitInForce.js'
import type { AwaitInForceResult } from '../inForce/awaitInForce.js'
import { readAllViews, viewsOfEnvironment } from './readViews.js'
import { renderMissing } from './renderInstances.js'

const MS_PER_SECOND = 1_000

const describeMissing = ({ instances }: AwaitInForceResult, failures: readonly string[]): string =>
  instances.length > 0 ? renderMissing(instances) : ['no daemon of this environment gave its state; "admin" in the settings has to name at least one', ...failures].join('\n')

/**
 * Waits until an accepted document is in force on every known instance, or those without it have fenced themselves.
 *
 * @param context - Settings, clients and output of the command.
 * @param environment - Environment.
 * @param row - Accepted row.
 * @param timeoutMs - Time after which the wait fails.
 * @returns Instances and time waited; throws a `CommandError` with `notInForce` when the wait times out.
 */
export const waitInForce = async (context: CommandContext, environment: string, row: EnvironmentRow, timeoutMs: number): Promise<AwaitInForceResult> => {
  let failures: readonly string[] = []
  const result = await awaitInForce({
    clock: context.clock,
    version: row.version,
    timeoutMs,
    readViews: async () => {
      const all = await readAllViews(context.admin)
      failures = all.failures
      return viewsOfEnvironment(all, environment)
    }
  })
  if (result.isInForce) return result
  const message = `version ${row.version} is the one of ${environment}, but is not known to be in force everywhere after ${timeoutMs / MS_PER_SECOND} s\n${describeMissing(result, failures)}`
  throw new CommandError(ExitCode.notInForce, message)
}
