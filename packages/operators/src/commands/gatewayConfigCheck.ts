import { formatLocatedError } from '@lovagehoist/common'
import type { JsonValue, LocatedError } from '@lovagehoist/common'
import { CommandError, readInputFile } from '../cli/commandContext.js'
import type { CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { compareGatewayConfigs } from '../gateway/compareGatewayConfigs.js'
import type { ConfigDifference } from '../gateway/compareGatewayConfigs.js'
import { checkGatewayConfig } from '../gateway/gatewayConfigRules.js'
import type { ConfigFinding } from '../gateway/gatewayConfigRules.js'
import { readGatewayConfig } from '../gateway/readGatewayConfig.js'

/** A configuration to check, the one to compare it with, and the output. */
export interface GatewayConfigCheck {
  readonly file: string
  /** File with the version in force; undefined for no comparison. */
  readonly against: string | undefined
  readonly isJson: boolean
  readonly printData: (data: JsonValue, text: string) => void
}

const VERSION = /^r?\d+$/
const CHANGE_MARKS: Readonly<Record<ConfigDifference['change'], string>> = { added: '+', removed: '-', changed: '~' }

const renderDifference = ({ kind, name, change, fields }: ConfigDifference): readonly string[] => [
  `${CHANGE_MARKS[change]} ${kind} ${name}`.trimEnd(),
  ...fields.map(({ field, from, to }) => `    ${field}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`)
]

const readAgainst = async (file: string): Promise<string> => {
  try {
    return await readInputFile(file)
  } catch (error) {
    if (!VERSION.test(file)) throw error
    throw new CommandError(ExitCode.badInput, `${file}: expected a file with the version in force; versions can't be read from the store`)
  }
}

/** A configuration whose version is not newer than that in force is ignored by daemons. */
const checkVersion = (before: number, after: number, differences: readonly ConfigDifference[]): readonly ConfigFinding[] =>
  differences.length === 0 || after > before ? [] : [{ severity: 'error', path: ['version'], expected: `a version after ${before}, the one compared with; daemons ignore any other` }]

/**
 * Checks a configuration of the gateway and compares it with another version.
 *
 * @param dependencies - Format of the configuration and output.
 * @param check - Files and output; throws a `CommandError` when a file is invalid.
 */
export const checkGatewayConfigFile = async (dependencies: CommandDependencies, { file, against, isJson, printData }: GatewayConfigCheck): Promise<void> => {
  const { gatewayConfigFormat, printError } = dependencies
  const fail = (faults: readonly LocatedError[], warnings: readonly LocatedError[] = []): never => {
    if (isJson) printData({ isValid: false, faults: faults.map(fault => ({ ...fault })), warnings: warnings.map(warning => ({ ...warning })) }, '')
    throw new CommandError(ExitCode.badInput, faults.map(formatLocatedError).join('\n'))
  }
  const after = readGatewayConfig(gatewayConfigFormat, file, await readInputFile(file))
  const before = against === undefined ? undefined : readGatewayConfig(gatewayConfigFormat, against, await readAgainst(against))
  if (after.isErr()) return fail([...after.error, ...(before?.isErr() === true ? before.error : [])])
  if (before !== undefined && before.isErr()) return fail(before.error)
  const { config, errorAt } = after.value
  const inForce = before?.value.config
  const differences = inForce === undefined ? [] : compareGatewayConfigs(inForce, config)
  const findings = [...checkGatewayConfig(config), ...(inForce === undefined ? [] : checkVersion(inForce.version, config.version, differences))]
  const locate = (severity: ConfigFinding['severity']): readonly LocatedError[] => findings.filter(finding => finding.severity === severity).map(({ path, expected }) => errorAt(path, expected))
  const [faults, warnings] = [locate('error'), locate('warning')]
  for (const warning of warnings) printError(`warning: ${formatLocatedError(warning)}`)
  if (faults.length > 0) return fail(faults, warnings)
  const counts = { services: config.services.length, routes: config.routes.length, accounts: config.accounts?.length ?? 0 }
  const data = { isValid: true, version: config.version, ...counts, warnings, ...(inForce === undefined ? {} : { againstVersion: inForce.version, differences }) }
  printData(JSON.parse(JSON.stringify(data)) as JsonValue, [
    `valid: version ${config.version}, ${counts.services} services, ${counts.routes} routes, ${counts.accounts} accounts`,
    ...(inForce === undefined ? [] : [`${differences.length} differences from version ${inForce.version}`]),
    ...differences.flatMap(renderDifference)
  ].join('\n'))
}
