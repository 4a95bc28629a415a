import * as echarts from 'echarts'
import type { Figures } from '../measure/scenario.js'

/** Bar chart of one field of a scenario, by number of instances and variant. */
export interface Plot {
  readonly file: string
  readonly title: string
  readonly scenario: string
  readonly field: string
  readonly unit: string
}

/** Plots that the report draws. */
export const plots: readonly Plot[] = [
  { file: 'detection.svg', title: 'Time to detect one failing target', scenario: 'gray', field: 'detectionOneMs', unit: 'ms' },
  { file: 'rush.svg', title: 'Goodput at 1.5 times capacity', scenario: 'rush', field: 'goodputShare', unit: 'share of capacity' },
  { file: 'promotion.svg', title: 'Time until a promotion is in force everywhere', scenario: 'promote', field: 'inForceMs', unit: 'ms' },
  { file: 'overhead.svg', title: 'Time added for 99 in 100 requests', scenario: 'overhead', field: 'addedP99Ms', unit: 'ms' }
]

const WIDTH_PX = 640
const HEIGHT_PX = 360

const median = (values: readonly number[]): number | null => {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted.length === 0 ? null : sorted[sorted.length >> 1] ?? null
}

const seriesName = (figures: Figures): string => typeof figures.profile === 'string' ? `${figures.variant}, ${figures.profile}` : figures.variant

/**
 * Renders a plot; several runs with the same size and variant are shown as their median.
 *
 * @param plot - Scenario and field to show.
 * @param runs - Figures of measurements.
 * @returns SVG text; undefined when no run has the field.
 */
export const renderPlot = (plot: Plot, runs: readonly Figures[]): string | undefined => {
  const matching = runs.filter(run => run.scenario === plot.scenario && typeof run[plot.field] === 'number')
  if (matching.length === 0) return undefined
  const sizes = [...new Set(matching.map(run => run.instances))].sort((a, b) => a - b)
  const names = [...new Set(matching.map(seriesName))].sort()
  const valueAt = (name: string, size: number): number | null =>
    median(matching.filter(run => seriesName(run) === name && run.instances === size).map(run => Number(run[plot.field])))
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH_PX, height: HEIGHT_PX })
  chart.setOption({
    animation: false,
    backgroundColor: '#ffffff',
    title: { text: plot.title, left: 'center' },
    legend: { bottom: 0 },
    grid: { left: 70, right: 20, top: 50, bottom: 70 },
    xAxis: { type: 'category', name: 'daemons', nameLocation: 'middle', nameGap: 28, data: sizes.map(String) },
    yAxis: { type: 'value', name: plot.unit },
    series: names.map(name => ({ name, type: 'bar', data: sizes.map(size => valueAt(name, size)) }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}
