import { once } from 'node:events'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { connect, createServer } from 'node:net'
import type { Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { SystemClock } from '@lovagehoist/common'
import { RowStoreStandin } from '../gateway/rowStoreStandin.js'
import { networkPrefixOf } from '../soak/gateway/soakFleet.js'
import { GatewayProcess } from './gatewayProcess.js'

const POLL_MS = 1
const TIMEOUT_MS = 20_000
const METRICS_PORT = 9_464
const CALLERS_PORT = 18_381
/** Longer than a process takes until it reads its settings. */
const SETTINGS_WRITE_MS = 1_000

/** Guards against processes that end by themselves around their start. */
describe('the start of a gateway process', () => {
  const clock = SystemClock.create()
  const host = `${networkPrefixOf(process.pid)}.77`
  let folder: string
  let store: RowStoreStandin
  let started: GatewayProcess[]

  const start = async (): Promise<GatewayProcess> => {
    const created = await GatewayProcess.create(folder, {
      node_name: 'gate',
      ip: host,
      zone: 'a',
      first_start: true,
      limits: { cpu_share: 1, cores: 1, max_fds: 4_096, memory_mb: 350, link_mbps: 1_000 },
      listen: { front: `${host}:${CALLERS_PORT}`, ready: `${host}:18388` },
      internal_port_range: [17_200, 17_201],
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
  const hasLogged = ({ output }: GatewayProcess, message: string): boolean => output.some(line => line.includes(`"message":"${message}`))

  beforeEach(async () => {
    started = []
    folder = await mkdtemp(join(tmpdir(), 'start-'))
    store = await RowStoreStandin.create(clock)
  })

  afterEach(async () => {
    for (const child of started) child.signal('SIGKILL')
    await Promise.all(started.map(async ({ exited }) => { await exited }))
    await store.close()
    await rm(folder, { recursive: true, force: true })
  })

  it('catches signals before it loads what takes long, and reloads the settings once it serves', async () => {
    const gateway = await start()
    const atMs = clock.monotonicMs()
    await until(async () => await gateway.catchesSignals())
    const caughtAfterMs = clock.monotonicMs() - atMs
    gateway.signal('SIGHUP')
    await until(() => hasLogged(gateway, 'daemon started'))
    expect(caughtAfterMs).to.be.below((clock.monotonicMs() - atMs) / 2)
    await until(() => hasLogged(gateway, 'settings reloaded'))
    expect(gateway.exitCode).to.equal(undefined)
  })

  it('ends in an orderly way when it is stopped at once', async () => {
    const gateway = await start()
    await until(async () => await gateway.catchesSignals())
    gateway.signal('SIGTERM')
    await until(() => gateway.hasExited)
    expect(gateway.exitCode).to.equal(0)
  })

  it('waits for its addresses while an earlier process still leaves', async () => {
    const earlier = await start()
    await until(() => hasLogged(earlier, 'daemon started'))
    // An idle connection keeps the earlier process for most of its grace period.
    const idle = connect({ host, port: CALLERS_PORT })
    await once(idle, 'connect')
    earlier.signal('SIGTERM')
    await until(() => hasLogged(earlier, 'draining'))
    const next = await start()
    await until(() => hasLogged(next, 'daemon started'))
    idle.destroy()
    expect([earlier.exitCode, next.exitCode, hasLogged(next, 'address in use')]).to.deep.equal([0, undefined, true])
  })

  it('ends at once, without serving, when it is stopped while it waits for its addresses', async () => {
    const earlier = await start()
    await until(() => hasLogged(earlier, 'daemon started'))
    const next = await start()
    await until(() => hasLogged(next, 'address in use'))
    next.signal('SIGTERM')
    await until(() => next.hasExited)
    expect([next.exitCode, earlier.hasExited, hasLogged(next, 'daemon started')]).to.deep.equal([0, false, false])
  })

  it('ends at once when it is stopped while only its address for callers is in use', async () => {
    const taken: Server = createServer()
    await new Promise<void>(resolve => { taken.listen(CALLERS_PORT, host, () => { resolve() }) })
    try {
      const gateway = await start()
      await until(() => hasLogged(gateway, 'address in use'))
      gateway.signal('SIGTERM')
      await until(() => gateway.hasExited)
      expect([gateway.exitCode, gateway.output.some(line => line.includes('"isServing":true'))]).to.deep.equal([0, false])
    } finally {
      taken.close()
    }
  })

  it('waits for a settings file that is still being written', async () => {
    const gateway = await start()
    const file = join(folder, 'gate.json')
    const text = await readFile(file, 'utf8')
    await writeFile(file, text.slice(0, text.length / 2))
    await clock.sleepMs(SETTINGS_WRITE_MS)
    await writeFile(file, text)
    await until(() => gateway.hasExited || hasLogged(gateway, 'daemon started'))
    expect([gateway.exitCode, hasLogged(gateway, 'daemon started')]).to.deep.equal([undefined, true])
  })

  it('reloads settings that are still being written when the signal arrives', async () => {
    const gateway = await start()
    await until(() => hasLogged(gateway, 'daemon started'))
    const file = join(folder, 'gate.json')
    const text = (await readFile(file, 'utf8')).replace('"grace_period":"6s"', '"grace_period":"4s"')
    await writeFile(file, text.slice(0, text.length / 2))
    gateway.signal('SIGHUP')
    await clock.sleepMs(SETTINGS_WRITE_MS)
    await writeFile(file, text)
    await until(() => hasLogged(gateway, 'settings reloaded') || hasLogged(gateway, 'invalid settings'))
    gateway.signal('SIGTERM')
    await until(() => hasLogged(gateway, 'draining'))
    expect(gateway.output.find(line => line.includes('"message":"draining"'))).to.include('"graceMs":4000')
  })

  it('serves without metrics while their port is taken', async () => {
    const taken: Server = createServer()
    await new Promise<void>(resolve => { taken.listen(METRICS_PORT, host, () => { resolve() }) })
    try {
      const gateway = await start()
      await until(() => hasLogged(gateway, 'daemon started'))
      expect(hasLogged(gateway, 'no metrics')).to.equal(true)
    } finally {
      taken.close()
    }
  })
})
