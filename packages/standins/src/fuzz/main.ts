import { Command } from 'commander'
import { runFuzz } from './runFuzz.js'

const EXIT_BREACH = 1

const program = new Command('fuzz')
  .description('runs random steps of callers, targets and platform against the request path and checks the responses against the targets\' journals')
  .option('--seed <number>', 'seed of the steps', '1')
  .option('--steps <number>', 'number of steps', '20000')
  .action(async (options: { readonly seed: string, readonly steps: string }) => {
    const summary = await runFuzz({ seed: Number(options.seed), steps: Number(options.steps) })
    process.stdout.write(`${JSON.stringify(summary)}\n`)
    if (summary.breaches.length > 0) process.exitCode = EXIT_BREACH
  })

await program.parseAsync()
