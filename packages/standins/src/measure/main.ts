import { Command } from 'commander'
import type { LinkCut } from '../gateway/daemonLinks.js'
import { scenarios } from './scenarios/index.js'

const MS_PER_SECOND = 1_000

interface Options {
  readonly seed: string
  readonly instances?: string
  readonly seconds?: string
  readonly variant: 'fleet' | 'baseline'
  readonly profile: 'fast' | 'careful'
  readonly kind: LinkCut
  readonly slots?: string
}

const runScenario = async (name: string, options: Options): Promise<void> => {
  const scenario = scenarios[name]
  if (scenario === undefined) throw new Error(`expected one of ${Object.keys(scenarios).join(', ')}`)
  const figures = await scenario.run({
    seed: Number(options.seed),
    instances: Number(options.instances ?? scenario.defaultInstances),
    durationMs: Number(options.seconds ?? scenario.defaultSeconds) * MS_PER_SECOND,
    variant: options.variant,
    profile: options.profile,
    kind: options.kind,
    ...(options.slots === undefined ? {} : { slots: options.slots }),
    progress: line => { process.stderr.write(`${line}\n`) }
  })
  process.stdout.write(`${JSON.stringify(figures)}\n`)
}

const listScenarios = (): void => {
  for (const { name, summary } of Object.values(scenarios)) process.stdout.write(`${name}\t${summary}\n`)
}

const program = new Command('measure')
  .argument('<name>', 'scenario, or "list"')
  .option('--seed <number>', 'seed of all random choices', '1')
  .option('--instances <number>', 'daemons')
  .option('--seconds <number>', 'duration of the measurement in seconds')
  .option('--variant <name>', '"fleet" or "baseline"', 'fleet')
  .option('--profile <name>', 'profile of the measured service: "fast" or "careful"', 'careful')
  .option('--kind <name>', 'how links to targets are cut: "silent", "reset" or "refused"', 'silent')
  .option('--slots <name>', 'slot-sharing policy: "shared", "least-loaded" or "two-choices"')
  .action(async (name: string, options: Options) => {
    if (name === 'list') listScenarios()
    else await runScenario(name, options)
  })

await program.parseAsync()
