import { expect } from 'chai'
import { createLog, createRegistry } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { createMemoryWatcher, memoryLimitBytes, registerMemoryMetrics } from './memoryWatcher.js'

const LIMIT_BYTES = memoryLimitBytes(350)

/** Guards against a process that is killed for its memory without a line that tells it. */
describe('the memory of a gateway process', () => {
  const clock = ManualClock.create()
  const memoryParts = () => ({ heapUsedBytes: 70, externalBytes: 60, arrayBuffersBytes: 50 })
  const use = () => ({ connections: 3, bufferedBytes: 1 })

  it('is logged once above nine tenths of its limit, and once below eight tenths again', async () => {
    const lines: Array<Readonly<Record<string, unknown>>> = []
    const log = createLog({ level: 'info', format: 'json', clock, write: line => { lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>) } })
    const stopController = new AbortController()
    let share: number | undefined = 0.5
    const probe = { residentBytes: () => share === undefined ? undefined : LIMIT_BYTES * share, memoryParts }
    const watched = createMemoryWatcher({ clock, log, probe, limitBytes: LIMIT_BYTES, use })(stopController.signal)
    for (share of [0.9, 0.91, 0.85, 0.95, 0.81, 0.79, 0.85, undefined, 0.99]) await clock.advanceMs(1_000)
    stopController.abort()
    await watched
    expect(lines.map(({ message, residentBytes }) => [message, residentBytes])).to.deep.equal([
      ['memory above nine tenths of its limit', LIMIT_BYTES * 0.91],
      ['memory below eight tenths of its limit again', LIMIT_BYTES * 0.79],
      ['memory above nine tenths of its limit', LIMIT_BYTES * 0.99]
    ])
    expect(lines[0]).to.deep.include({ level: 'warn', limitBytes: LIMIT_BYTES, ...memoryParts(), ...use() })
  })

  it('is shown beside its limit, also where the system does not tell it', async () => {
    const registry = createRegistry({})
    let residentBytes: number | undefined = 1_000
    registerMemoryMetrics(registry, { residentBytes: () => residentBytes }, LIMIT_BYTES)
    expect(await registry.metrics()).to.match(/^lovagehoist_memory_resident_bytes 1000$/m).and.to.match(/^lovagehoist_memory_limit_bytes 367001600$/m)
    residentBytes = undefined
    expect(await registry.metrics()).to.match(/^lovagehoist_memory_resident_bytes 0$/m)
  })
})
