import { readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { Command } from 'commander'
import type { Figures } from '../measure/scenario.js'
import { drawPlot, plots } from './plots.js'
import { writeTable } from './table.js'

const readRuns = async (file: string): Promise<readonly Figures[]> =>
  (await readFile(file, 'utf8')).split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as Figures)

const program = new Command('report')
  .description('tables and plots from the figures that measurements printed, one JSON object a line')
  .argument('<file>', 'figures')
  .requiredOption('--out <folder>', 'folder for the pictures')
  .action(async (file: string, options: { readonly out: string }) => {
    const runs = await readRuns(file)
    for (const plot of plots) {
      const svg = drawPlot(plot, runs)
      if (svg !== undefined) await writeFile(join(options.out, plot.file), svg)
    }
    const scenarios = [...new Set(runs.map(run => run.scenario))].sort()
    process.stdout.write(scenarios.map(scenario => writeTable(scenario, runs)).join('\n'))
  })

await program.parseAsync()
