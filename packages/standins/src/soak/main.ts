import { Command } from 'commander'
import { SeededRandom } from '@lovagehoist/common'
import { runSoak } from './runSoak.js'

const MS_PER_MINUTE = 60_000
const EXIT_BREACH = 1

const program = new Command('soak')
  .description('runs real daemons with stand-ins under random faults and checks the results with an oracle')
  .option('--seed <number>', 'seed of all random choices', '1')
  .option('--minutes <number>', 'duration of the load', '10')
  .option('--instances <number>', 'daemons', '6')
  .option('--per-second <number>', 'requests started each second', '120')
  .action(async (options: { readonly seed: string, readonly minutes: string, readonly instances: string, readonly perSecond: string }) => {
    const summary = await runSoak({
      seed: Number(options.seed),
      random: SeededRandom.create(Number(options.seed)),
      durationMs: Number(options.minutes) * MS_PER_MINUTE,
      instances: Number(options.instances),
      perSecond: Number(options.perSecond),
      progress: line => { process.stderr.write(`${line}\n`) }
    })
    process.stdout.write(`${JSON.stringify(summary)}\n`)
    if (!summary.isClean) process.exitCode = EXIT_BREACH
  })

await program.parseAsync()
