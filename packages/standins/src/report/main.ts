import { readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { Command } from 'commander'
import type { Figures } from '../measure/scenario.js'
import { renderPlot, plots } from './plots.js'
import { formatTable } from './table.js'

const readRuns = async (file: string): Promise<readonly Figures[]> =>
  (await readFile(file, 'utf8')).split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as Figures)

const program = new Command('report')
  .description('writes tables and plots from the output of measurements (one JSON object per line)')
  .argument('<file>', 'output of measurements')
  .requiredOption('--out <folder>', 'folder for the plots')
  .action(async (file: string, options: { readonly out: string }) => {
    const runs = await readRuns(file)
    for (const plot of plots) {
      const svg = renderPlot(plot, runs)
      if (svg !== undefined) await writeFile(join(options.out, plot.file), svg)
    }
    const scenarios = [...new Set(runs.map(run => run.scenario))].sort()
    process.stdout.write(scenarios.map(scenario => formatTable(scenario, runs)).join('\n'))
  })

await program.parseAsync()
