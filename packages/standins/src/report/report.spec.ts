import { expect } from 'chai'
import { expectSnapshot } from '@lovagehoist/common/testing'
import type { Figures } from '../measure/scenario.js'
import { drawPlot, plots } from './plots.js'
import { writeTable } from './table.js'

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
    expectSnapshot(this, writeTable('overhead', [run('fleet', 1, 1.23456), run('baseline', 8, 2)]))
  })

  it('draws the median of equal runs', () => {
    const plot = plots.find(({ scenario }) => scenario === 'overhead')
    const svg = plot === undefined ? undefined : drawPlot(plot, [run('fleet', 1, 1), run('fleet', 1, 40), run('fleet', 1, 3)])
    expect(svg).to.match(/^<svg/)
    expect(svg).to.include('daemons')
  })

  it('draws nothing without runs', () => {
    expect(plots.map(plot => drawPlot(plot, []))).to.deep.equal(plots.map(() => undefined))
  })
})
