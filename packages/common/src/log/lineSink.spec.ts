import { expect } from 'chai'
import { ManualClock } from '../fakes/manualClock.js'
import { LineSink } from './lineSink.js'

describe('LineSink', () => {
  let clock: ManualClock
  let written: string
  let finish: Array<() => void>

  const create = (linesPerSecond: number): LineSink =>
    LineSink.create({ clock, linesPerSecond, write: (bytes, done) => { written += bytes.toString(); finish.push(() => { done(null) }) } })

  beforeEach(() => {
    clock = ManualClock.create()
    written = ''
    finish = []
  })

  it('batches lines and accepts more lines that report failures than others', async () => {
    const sink = create(2)
    for (let index = 0; index < 5; index++) sink.write(`{"level":"info","n":${index}}\n`)
    for (let index = 0; index < 5; index++) sink.write(`{"level":"warn","n":${index}}\n`)
    await clock.advanceMs(100)
    expect(written.match(/info/g)).to.have.length(2)
    expect(written.match(/warn/g)).to.have.length(2)
    expect(sink.droppedCount).to.equal(6)
  })

  it('reports the number of dropped lines', async () => {
    const sink = create(1)
    for (let index = 0; index < 4; index++) sink.write('{"level":"info"}\n')
    await clock.advanceMs(1_000)
    finish.shift()?.()
    sink.write('{"level":"info"}\n')
    await clock.advanceMs(100)
    expect(written).to.include('"lines left out","count":3')
  })

  it('drops lines instead of blocking when the reader is stuck', async () => {
    const sink = create(1_000_000)
    const line = `${'x'.repeat(1_000)}\n`
    for (let index = 0; index < 1_000; index++) sink.write(line)
    await clock.advanceMs(100)
    expect(sink.droppedCount).to.be.above(700)
    expect(written.length).to.be.below(300_000)
  })

  it('writes the last lines of a process that ends while an earlier batch is being written', async () => {
    const sink = create(1)
    sink.write('{"level":"info","n":1}\n')
    await clock.advanceMs(100)
    sink.write('{"level":"error","n":2}\n')
    sink.write('{"level":"info","n":3}\n')
    const writtenAtEnd = sink.close().then(() => written)
    finish.shift()?.()
    await clock.advanceMs(10)
    finish.shift()?.()
    await clock.advanceMs(200)
    expect((await writtenAtEnd).trim().split('\n').map(line => JSON.parse(line) as unknown)).to.deep.equal([
      { level: 'info', n: 1 },
      { level: 'error', n: 2 },
      { level: 'warn', part: 'log', message: 'lines left out', count: 1 }
    ])
  })
})
