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
  .description('real gateway daemons as processes, faults from outside them, checked from what callers and targets see')
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <number>', 'runs, each with the next seed', '1')
  .option('--seconds <number>', 'time under faults in each run', '20')
  .option('--instances <number>', 'daemons', '6')
  .option('--callers <number>', 'callers, each with a connection of its own', '40')
  .option('--only <names>', 'faults that may come, separated by commas')
  .option('--verbose', 'tells of each fault', false)
  .action(async (options: Options) => {
    const first = Number(options.seed)
    for (let seed = first; seed < first + Number(options.runs); seed++) {
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
