import type { Figures } from '../measure/scenario.js'

const DIGITS = 4

const formatCell = (value: unknown): string => {
  if (typeof value === 'number') return String(Number(value.toPrecision(DIGITS)))
  return value === null || value === undefined ? '-' : typeof value === 'string' ? value : JSON.stringify(value)
}

/**
 * Formats the runs of a scenario as a Markdown table with one row per run.
 *
 * @param scenario - Name of the scenario.
 * @param runs - Figures of measurements.
 * @returns The table; an empty string when there is no run.
 */
export const formatTable = (scenario: string, runs: readonly Figures[]): string => {
  const matching = runs.filter(run => run.scenario === scenario)
  const fields = [...new Set(matching.flatMap(run => Object.keys(run)))].filter(field => field !== 'scenario')
  if (matching.length === 0) return ''
  const rows = [fields, fields.map(() => '---'), ...matching.map(run => fields.map(field => formatCell(run[field])))]
  return `## ${scenario}\n\n${rows.map(row => `| ${row.join(' | ')} |`).join('\n')}\n`
}
