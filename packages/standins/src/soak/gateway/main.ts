import { Command } from 'commander'
import { runGatewaySoak } from './runGatewaySoak.js'

const MS_PER_SECOND = 1_000
const EXIT_BREACH = 1

interface Options {
  readonly seed: string
  readonly runs: string
  readonly seconds: string
  readonly instances: string
  readonly callers: string
  readonly only?: string
  readonly verbose: boolean
}

const program = new Command('soak:gateway')
  .description('runs real gateway daemons under faults injected from outside and compares what callers and targets see')
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <number>', 'number of runs, each with the next seed', '1')
  .option('--seconds <number>', 'duration of the faults in each run', '20')
  .option('--instances <number>', 'daemons', '6')
  .option('--callers <number>', 'number of callers, each with its own connection', '40')
  .option('--only <names>', 'names of the faults to inject, separated by commas')
  .option('--verbose', 'print each fault to stderr', false)
  .action(async (options: Options) => {
    const firstSeed = Number(options.seed)
    for (let seed = firstSeed; seed < firstSeed + Number(options.runs); seed++) {
      const summary = await runGatewaySoak({
        seed,
        durationMs: Number(options.seconds) * MS_PER_SECOND,
        instances: Number(options.instances),
        callers: Number(options.callers),
        ...(options.only === undefined ? {} : { only: options.only.split(',') }),
        progress: line => { if (options.verbose) process.stderr.write(`${line}\n`) }
      })
      process.stdout.write(`${JSON.stringify(summary)}\n`)
      if (!summary.isClean) process.exitCode = EXIT_BREACH
    }
  })

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(EXIT_BREACH) })

await program.parseAsync()
