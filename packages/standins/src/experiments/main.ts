import { Command } from 'commander'
import type { JsonValue } from '@lovagehoist/common'
import { comparePlacement } from './placement.js'

// Fleet size expected in two years.
const DAEMONS = 470
const SERVICES = 320
const TARGETS = 6_500
const REPLICAS = 3

type Experiment = (seed: number) => readonly JsonValue[]

const experiments: Readonly<Record<string, Experiment>> = {
  placement: seed => comparePlacement({ seed, daemons: DAEMONS, services: SERVICES, targets: TARGETS, replicas: REPLICAS })
}

const program = new Command('experiment')
  .description('calculations with the project\'s placement code at the fleet size expected in two years')
  .argument('<name>', `one of ${Object.keys(experiments).join(', ')}`)
  .option('--seed <number>', 'seed of all random choices', '1')
  .action((name: string, options: { readonly seed: string }) => {
    const run = experiments[name]
    if (run === undefined) throw new Error(`expected one of ${Object.keys(experiments).join(', ')}`)
    for (const row of run(Number(options.seed))) process.stdout.write(`${JSON.stringify(row)}\n`)
  })

program.parse()
