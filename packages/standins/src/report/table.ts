import type { Figures } from '../measure/scenario.js'

const DIGITS = 4

const cellOf = (value: unknown): string => {
  if (typeof value === 'number') return String(Number(value.toPrecision(DIGITS)))
  return value === null || value === undefined ? '-' : typeof value === 'string' ? value : JSON.stringify(value)
}

/**
 * Writes the runs of one scenario as a Markdown table, one run a row.
 *
 * @param scenario - Name of the scenario.
 * @param runs - Figures of measurements.
 * @returns The table; empty when there is no run.
 */
export const writeTable = (scenario: string, runs: readonly Figures[]): string => {
  const shown = runs.filter(run => run.scenario === scenario)
  const fields = [...new Set(shown.flatMap(run => Object.keys(run)))].filter(field => field !== 'scenario')
  if (shown.length === 0) return ''
  const rows = [fields, fields.map(() => '---'), ...shown.map(run => fields.map(field => cellOf(run[field])))]
  return `## ${scenario}\n\n${rows.map(row => `| ${row.join(' | ')} |`).join('\n')}\n`
}
