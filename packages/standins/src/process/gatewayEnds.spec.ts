import { createSocket } from 'node:dgram'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { SystemClock } from '@lovagehoist/common'
import { RowStoreStandin } from '../gateway/rowStoreStandin.js'
import { networkPrefixOf } from '../soak/gateway/soakFleet.js'
import { GatewayProcess } from './gatewayProcess.js'

const POLL_MS = 5
/** Longer than a start waits for its addresses. */
const TIMEOUT_MS = 40_000
const PEER_PORT = 17_210

/** Guards against processes whose last lines do not tell why they ended. */
describe('the last lines of a gateway process', () => {
  const clock = SystemClock.create()
  const host = `${networkPrefixOf(process.pid)}.78`
  let folder: string
  let store: RowStoreStandin
  let started: GatewayProcess[]

  const start = async (memoryMb: number | string): Promise<GatewayProcess> => {
    const created = await GatewayProcess.create(folder, {
      node_name: 'gate',
      ip: host,
      zone: 'a',
      first_start: true,
      limits: { cpu_share: 1, cores: 1, max_fds: 4_096, memory_mb: memoryMb, link_mbps: 1_000 },
      listen: { front: `${host}:18481`, ready: `${host}:18488` },
      internal_port_range: [PEER_PORT, PEER_PORT + 1],
      seeds: [],
      platform: { address: `127.0.0.1:${store.address.port}` },
      bounds: { grace_period: '6s', retry_budget_ratio: 0.2, retry_budget_slack: 60, budget_window: '10s' }
    } as { readonly node_name: string })
    started.push(created)
    return created
  }

  const until = async (isMet: () => boolean | Promise<boolean>): Promise<void> => {
    const endMs = clock.monotonicMs() + TIMEOUT_MS
    while (!await isMet()) {
      if (clock.monotonicMs() > endMs) throw new Error(`condition not met: ${JSON.stringify(started.map(({ output, exitCode }) => [exitCode, output]))}`)
      await clock.sleepMs(POLL_MS)
    }
  }
  const lineOf = ({ output }: GatewayProcess, message: string): Readonly<Record<string, unknown>> => {
    const line = output.find(text => text.includes(`"message":"${message}`))
    return line === undefined ? {} : JSON.parse(line) as Readonly<Record<string, unknown>>
  }
  const hasLogged = (gateway: GatewayProcess, message: string): boolean => lineOf(gateway, message).message !== undefined

  beforeEach(async () => {
    started = []
    folder = await mkdtemp(join(tmpdir(), 'ends-'))
    store = await RowStoreStandin.create(clock)
  })

  afterEach(async () => {
    for (const child of started) child.signal('SIGKILL')
    await Promise.all(started.map(async ({ exited }) => { await exited }))
    await store.close()
    await rm(folder, { recursive: true, force: true })
  })

  it('tell when it served and that it left', async () => {
    const gateway = await start(350)
    await until(() => hasLogged(gateway, 'daemon started'))
    expect(lineOf(gateway, 'daemon started').startedAfterMs).to.be.above(0)
    gateway.signal('SIGTERM')
    await until(() => gateway.hasExited)
    expect([gateway.exitCode, lineOf(gateway, 'daemon left').cutExchanges]).to.deep.equal([0, 0])
  })

  it('name the field of wrong settings', async () => {
    const gateway = await start('much')
    await until(() => gateway.hasExited)
    expect(gateway.exitCode).to.equal(2)
    expect(gateway.output.at(-1)).to.match(/gate\.json: limits\.memory_mb: expected/)
  })

  it('name the step of the start in which it was stopped', async () => {
    const gateway = await start('much')
    await until(async () => await gateway.catchesSignals())
    gateway.signal('SIGTERM')
    await until(() => gateway.hasExited)
    expect([gateway.exitCode, lineOf(gateway, 'stopped before it served').step]).to.deep.equal([0, 'settings'])
  })

  it('name the error of a start that failed', async () => {
    const taken = createSocket('udp4')
    await new Promise<void>(resolve => { taken.bind(PEER_PORT, host, resolve) })
    try {
      const gateway = await start(350)
      await until(() => gateway.hasExited)
      expect([gateway.exitCode, lineOf(gateway, 'start failed').code]).to.deep.equal([1, 'EADDRINUSE'])
    } finally {
      taken.close()
    }
  })

  it('tell that it was near the limit of its memory', async () => {
    const gateway = await start(40)
    await until(() => hasLogged(gateway, 'memory above nine tenths of its limit'))
    gateway.signal('SIGKILL')
    await until(() => gateway.hasExited)
    const { residentBytes, limitBytes, heapUsedBytes } = lineOf(gateway, 'memory above nine tenths of its limit') as Readonly<Record<string, number>>
    expect([gateway.exitCode, limitBytes]).to.deep.equal(['SIGKILL', 41_943_040])
    expect(residentBytes).to.be.above(heapUsedBytes ?? Infinity)
  })
})
