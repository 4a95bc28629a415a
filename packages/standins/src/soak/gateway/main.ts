import { Command, Option } from 'commander'
import { runGatewaySoak } from './runGatewaySoak.js'
import type { GatewaySoakOptions } from './runGatewaySoak.js'
import { runStopSoak } from './stops/runStopSoak.js'
import type { StopSoakOptions } from './stops/runStopSoak.js'

const MS_PER_SECOND = 1_000
const EXIT_BREACH = 1

interface Options {
  readonly stage: string
  readonly script?: string
  readonly seed: string
  readonly runs: string
  readonly seconds: string
  readonly instances: string
  readonly callers: string
  readonly only?: string
  readonly keepLogs: boolean
  readonly verbose: boolean
}

/** Stages of the soak, by name. */
const stages: Readonly<Record<string, (options: GatewaySoakOptions & StopSoakOptions) => Promise<{ readonly isClean: boolean }>>> = { faults: runGatewaySoak, stops: runStopSoak }

const program = new Command('soak:gateway')
  .description('runs real gateway daemons under faults injected from outside and compares what callers and targets see')
  .addOption(new Option('--stage <name>', 'faults of the system, or planned stops beside faults').choices(Object.keys(stages)).default('faults'))
  .option('--script <file>', 'script of the daemon in stage stops')
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <number>', 'number of runs, each with the next seed', '1')
  .option('--seconds <number>', 'duration of the faults in each run', '20')
  .option('--instances <number>', 'daemons', '6')
  .option('--callers <number>', 'number of callers, each with its own connection', '40')
  .option('--only <names>', 'names of the faults to inject, separated by commas')
  .option('--keep-logs', 'keep the logs in stage stops, also without a finding', false)
  .option('--verbose', 'print each fault to stderr', false)
  .action(async (options: Options) => {
    const firstSeed = Number(options.seed)
    for (let seed = firstSeed; seed < firstSeed + Number(options.runs); seed++) {
      const summary = await stages[options.stage]?.({
        seed,
        durationMs: Number(options.seconds) * MS_PER_SECOND,
        keepsLogs: options.keepLogs,
        instances: Number(options.instances),
        callers: Number(options.callers),
        ...(options.script === undefined ? {} : { script: options.script }),
        ...(options.only === undefined ? {} : { only: options.only.split(',') }),
        progress: line => { if (options.verbose) process.stderr.write(`${line}\n`) }
      })
      process.stdout.write(`${JSON.stringify(summary)}\n`)
      if (summary?.isClean !== true) process.exitCode = EXIT_BREACH
    }
  })

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(EXIT_BREACH) })

await program.parseAsync()
