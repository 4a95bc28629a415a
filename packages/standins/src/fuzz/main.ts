import { Command } from 'commander'
import { runFuzz } from './runFuzz.js'

const EXIT_BREACH = 1

const program = new Command('fuzz')
  .description('random actions of callers, targets and platform against the request path, checked against the targets\' journals')
  .option('--seed <number>', 'seed of the actions', '1')
  .option('--steps <number>', 'actions', '20000')
  .action(async (options: { readonly seed: string, readonly steps: string }) => {
    const summary = await runFuzz({ seed: Number(options.seed), steps: Number(options.steps) })
    process.stdout.write(`${JSON.stringify(summary)}\n`)
    if (summary.breaches.length > 0) process.exitCode = EXIT_BREACH
  })

await program.parseAsync()
