import type { JsonValue } from '@lovagehoist/common'
import { CommandFailure } from '../cli/context.js'
import type { CommandContext } from '../cli/context.js'
import type { AdminCall, AdminError } from '../cli/adminClient.js'
import { ExitCode } from '../cli/exitCode.js'

const failureOf = (errors: readonly AdminError[]): CommandFailure =>
  new CommandFailure(ExitCode.unavailable, errors.length === 0 ? 'no daemon is named under "admin" in the settings' : errors.map(({ message }) => message).join('\n'))

/**
 * Calls daemons one after another until one answers.
 *
 * @param context - What the command works with.
 * @param call - Call.
 * @returns The first answer; throws a `CommandFailure` when none answers.
 */
export const callAnyDaemon = async ({ admin }: CommandContext, call: AdminCall): Promise<JsonValue> => {
  const errors: AdminError[] = []
  for (const instanceId of admin.instanceIds) {
    const reply = await admin.call(instanceId, call)
    if (reply.isOk()) return reply.value
    errors.push(reply.error)
  }
  throw failureOf(errors)
}

/**
 * Calls one daemon: at its own admin address when that is known, otherwise through any other daemon.
 *
 * @param context - What the command works with.
 * @param instanceId - The daemon.
 * @param method - Method of the call.
 * @param action - `dump` or `drain`.
 * @returns The answer; throws a `CommandFailure` when there is none.
 */
export const callDaemon = async (context: CommandContext, instanceId: string, method: AdminCall['method'], action: 'dump' | 'drain'): Promise<JsonValue> => {
  if (context.admin.instanceIds.includes(instanceId)) {
    const reply = await context.admin.call(instanceId, { method, path: `/${action}` })
    if (reply.isOk()) return reply.value
    throw failureOf([reply.error])
  }
  return await callAnyDaemon(context, { method, path: `/instances/${encodeURIComponent(instanceId)}/${action}` })
}
