import { once } from 'node:events'
import { readFile, writeFile } from 'node:fs/promises'
import { connect, createServer } from 'node:net'
import type { Server } from 'node:net'
import { expect } from 'chai'
import { networkPrefixOf } from '../soak/gateway/soakFleet.js'
import { ProcessMachine, hasLogged } from './processMachine.js'

const TIMEOUT_MS = 20_000
const METRICS_PORT = 9_464
const CALLERS_PORT = 18_381
/** Longer than a process takes until it reads its settings. */
const SETTINGS_WRITE_MS = 1_000

/** Guards against processes that end by themselves around their start. */
describe('the start of a gateway process', () => {
  const host = `${networkPrefixOf(process.pid)}.77`
  let machine: ProcessMachine

  beforeEach(async () => { machine = await ProcessMachine.create({ host, callersPort: CALLERS_PORT, readinessPort: 18_388, peerPort: 17_200, timeoutMs: TIMEOUT_MS }) })

  afterEach(async () => { await machine.close() })

  it('catches signals before it loads what takes long, and reloads the settings once it serves', async () => {
    const gateway = await machine.start()
    const atMs = machine.clock.monotonicMs()
    await machine.until(async () => await gateway.catchesSignals())
    const caughtAfterMs = machine.clock.monotonicMs() - atMs
    gateway.signal('SIGHUP')
    await machine.until(() => hasLogged(gateway, 'daemon started'))
    expect(caughtAfterMs).to.be.below((machine.clock.monotonicMs() - atMs) / 2)
    await machine.until(() => hasLogged(gateway, 'settings reloaded'))
    expect(gateway.exitCode).to.equal(undefined)
  })

  it('ends in an orderly way when it is stopped at once', async () => {
    const gateway = await machine.start()
    await machine.until(async () => await gateway.catchesSignals())
    gateway.signal('SIGTERM')
    await machine.until(() => gateway.hasExited)
    expect(gateway.exitCode).to.equal(0)
  })

  it('waits for its addresses while an earlier process still leaves', async () => {
    const earlier = await machine.start()
    await machine.until(() => hasLogged(earlier, 'daemon started'))
    // An idle connection keeps the earlier process for most of its grace period.
    const idle = connect({ host, port: CALLERS_PORT })
    await once(idle, 'connect')
    earlier.signal('SIGTERM')
    await machine.until(() => hasLogged(earlier, 'draining'))
    const next = await machine.start()
    await machine.until(() => hasLogged(next, 'daemon started'))
    idle.destroy()
    expect([earlier.exitCode, next.exitCode, hasLogged(next, 'address in use')]).to.deep.equal([0, undefined, true])
  })

  it('ends at once, without serving, when it is stopped while it waits for its addresses', async () => {
    const earlier = await machine.start()
    await machine.until(() => hasLogged(earlier, 'daemon started'))
    const next = await machine.start()
    await machine.until(() => hasLogged(next, 'address in use'))
    next.signal('SIGTERM')
    await machine.until(() => next.hasExited)
    expect([next.exitCode, earlier.hasExited, hasLogged(next, 'daemon started')]).to.deep.equal([0, false, false])
  })

  it('ends at once when it is stopped while only its address for callers is in use', async () => {
    const taken: Server = createServer()
    await new Promise<void>(resolve => { taken.listen(CALLERS_PORT, host, () => { resolve() }) })
    try {
      const gateway = await machine.start()
      await machine.until(() => hasLogged(gateway, 'address in use'))
      gateway.signal('SIGTERM')
      await machine.until(() => gateway.hasExited)
      expect([gateway.exitCode, gateway.output.some(line => line.includes('"isServing":true'))]).to.deep.equal([0, false])
    } finally {
      taken.close()
    }
  })

  it('waits for a settings file that is still being written', async () => {
    const gateway = await machine.start()
    const file = machine.settingsFile
    const text = await readFile(file, 'utf8')
    await writeFile(file, text.slice(0, text.length / 2))
    await machine.clock.sleepMs(SETTINGS_WRITE_MS)
    await writeFile(file, text)
    await machine.until(() => gateway.hasExited || hasLogged(gateway, 'daemon started'))
    expect([gateway.exitCode, hasLogged(gateway, 'daemon started')]).to.deep.equal([undefined, true])
  })

  it('reloads settings that are still being written when the signal arrives', async () => {
    const gateway = await machine.start()
    await machine.until(() => hasLogged(gateway, 'daemon started'))
    const file = machine.settingsFile
    const text = (await readFile(file, 'utf8')).replace('"grace_period":"6s"', '"grace_period":"4s"')
    await writeFile(file, text.slice(0, text.length / 2))
    gateway.signal('SIGHUP')
    await machine.clock.sleepMs(SETTINGS_WRITE_MS)
    await writeFile(file, text)
    await machine.until(() => hasLogged(gateway, 'settings reloaded') || hasLogged(gateway, 'invalid settings'))
    gateway.signal('SIGTERM')
    await machine.until(() => hasLogged(gateway, 'draining'))
    expect(gateway.output.find(line => line.includes('"message":"draining"'))).to.include('"graceMs":4000')
  })

  it('serves without metrics while their port is taken', async () => {
    const taken: Server = createServer()
    await new Promise<void>(resolve => { taken.listen(METRICS_PORT, host, () => { resolve() }) })
    try {
      const gateway = await machine.start()
      await machine.until(() => hasLogged(gateway, 'daemon started'))
      expect(hasLogged(gateway, 'no metrics')).to.equal(true)
    } finally {
      taken.close()
    }
  })
})
