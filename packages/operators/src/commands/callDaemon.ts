import type { JsonValue } from '@lovagehoist/common'
import { CommandError } from '../cli/commandContext.js'
import type { CommandContext } from '../cli/commandContext.js'
import type { AdminCall, AdminError } from '../cli/adminClient.js'
import { ExitCode } from '../cli/exitCode.js'

const unavailableError = (errors: readonly AdminError[]): CommandError =>
  new CommandError(ExitCode.unavailable, errors.length === 0 ? 'no daemon is named under "admin" in the settings' : errors.map(({ message }) => message).join('\n'))

/**
 * Calls the daemons with a known admin address one after another until one responds.
 *
 * @param context - Settings, clients and output of the command.
 * @param call - Method and path.
 * @returns The first response; throws a `CommandError` when none responds.
 */
export const callAnyDaemon = async ({ admin }: CommandContext, call: AdminCall): Promise<JsonValue> => {
  const errors: AdminError[] = []
  for (const instanceId of admin.instanceIds) {
    const result = await admin.call(instanceId, call)
    if (result.isOk()) return result.value
    errors.push(result.error)
  }
  throw unavailableError(errors)
}

/**
 * Calls a daemon at its own admin address when that is known, otherwise through any other daemon.
 *
 * @param context - Settings, clients and output of the command.
 * @param instanceId - Instance of the daemon.
 * @param method - Method of the call.
 * @param action - Action of the daemon.
 * @returns The response; throws a `CommandError` when there is none.
 */
export const callDaemon = async (context: CommandContext, instanceId: string, method: AdminCall['method'], action: 'dump' | 'drain'): Promise<JsonValue> => {
  if (context.admin.instanceIds.includes(instanceId)) {
    const result = await context.admin.call(instanceId, { method, path: `/${action}` })
    if (result.isOk()) return result.value
    throw unavailableError([result.error])
  }
  return await callAnyDaemon(context, { method, path: `/instances/${encodeURIComponent(instanceId)}/${action}` })
}
