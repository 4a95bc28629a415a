import { readFile } from 'node:fs/promises'
import type { Command } from 'commander'
import { request } from 'undici'
import { CommandFailure, readOperatorSettings } from '../cli/context.js'
import type { CommandWorld, CommonOptions } from '../cli/context.js'
import { ExitCode } from '../cli/exitCode.js'

const callAdmin = async (options: CommonOptions, instanceId: string, method: 'GET' | 'POST', path: string): Promise<string> => {
  const settings = await readOperatorSettings(options.settings)
  const baseUrl = settings.admin[instanceId]
  if (baseUrl === undefined) throw new CommandFailure(ExitCode.badInput, `${instanceId}: expected an instance named under "admin" in ${options.settings}`)
  const token = settings.adminTokenFile === undefined ? undefined : (await readFile(settings.adminTokenFile, 'utf8')).trim()
  try {
    const reply = await request(`${baseUrl}${path}`, { method, headers: token === undefined ? {} : { authorization: `Bearer ${token}` } })
    return await reply.body.text()
  } catch (error) {
    throw new CommandFailure(ExitCode.unavailable, `${instanceId}: ${String(error)}`)
  }
}

/**
 * Adds the commands that look at instances and targets.
 *
 * @param program - Command line.
 * @param world - What commands reach the world through.
 */
export const addInstanceCommands = (program: Command, world: CommandWorld): void => {
  program.command('dump <instance>').description('print the state of a daemon').action(async (instance: string, _: unknown, command: Command) => {
    world.print(await callAdmin(command.optsWithGlobals<CommonOptions>(), instance, 'GET', '/dump'))
  })
  program.command('drain <instance>').description('let a daemon finish its work and leave').action(async (instance: string, _: unknown, command: Command) => {
    world.print(await callAdmin(command.optsWithGlobals<CommonOptions>(), instance, 'POST', '/drain'))
  })
  const list = async (command: Command, keep: (entry: { readonly role: string, readonly service: string }) => boolean): Promise<void> => {
    const settings = await readOperatorSettings(command.optsWithGlobals<CommonOptions>().settings)
    const entries = await world.openPlatform(settings).directory.list()
    if (entries.isErr()) throw new CommandFailure(ExitCode.unavailable, entries.error.message)
    world.print(JSON.stringify(entries.value.filter(keep)))
  }
  program.command('targets <service>').description('list the targets of a service').action(async (service: string, _: unknown, command: Command) => {
    await list(command, entry => entry.role === 'target' && entry.service === service)
  })
  program.command('instances').description('list the daemons').action(async (_: unknown, command: Command) => {
    await list(command, entry => entry.role === 'daemon')
  })
}
