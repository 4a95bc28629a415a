import { expect } from 'chai'
import { expectSnapshot } from '@lovagehoist/common/testing'
import type { Figures } from '../measure/scenario.js'
import { renderPlot, plots } from './plots.js'
import { formatTable } from './table.js'

const run = (variant: string, instances: number, addedP99Ms: number): Figures => ({
  scenario: 'overhead',
  variant,
  seed: 1,
  instances,
  targets: 8,
  requests: 100,
  wrongAnswers: 0,
  duplicateRuns: 0,
  falseNotRun: 0,
  floorBreaches: null,
  invariantBreaches: 0,
  addedP99Ms
})

describe('report', () => {
  it('writes one row for each run', function () {
    expectSnapshot(this, formatTable('overhead', [run('fleet', 1, 1.23456), run('baseline', 8, 2)]))
  })

  it('renders a plot of several runs with the same size and variant', () => {
    const plot = plots.find(({ scenario }) => scenario === 'overhead')
    const svg = plot === undefined ? undefined : renderPlot(plot, [run('fleet', 1, 1), run('fleet', 1, 40), run('fleet', 1, 3)])
    expect(svg).to.match(/^<svg/)
    expect(svg).to.include('daemons')
  })

  it('renders no plot without runs', () => {
    expect(plots.map(plot => renderPlot(plot, []))).to.deep.equal(plots.map(() => undefined))
  })
})
