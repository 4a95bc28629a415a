import { createSocket } from 'node:dgram'
import { expect } from 'chai'
import { request } from 'undici'
import { networkPrefixOf } from '../soak/gateway/soakFleet.js'
import { ProcessMachine, hasLogged, loggedLine } from './processMachine.js'

/** Longer than a start waits for its addresses. */
const TIMEOUT_MS = 40_000
const PEER_PORT = 17_210
const METRICS_PORT = 9_464

/** Guards against processes whose last lines do not tell why they ended. */
describe('the last lines of a gateway process', () => {
  const host = `${networkPrefixOf(process.pid)}.78`
  let machine: ProcessMachine

  beforeEach(async () => { machine = await ProcessMachine.create({ host, callersPort: 18_481, readinessPort: 18_488, peerPort: PEER_PORT, timeoutMs: TIMEOUT_MS }) })

  afterEach(async () => { await machine.close() })

  it('tell when it served and that it left', async () => {
    const gateway = await machine.start()
    await machine.until(() => hasLogged(gateway, 'daemon started'))
    expect(loggedLine(gateway, 'daemon started').startedAfterMs).to.be.above(0)
    gateway.signal('SIGTERM')
    await machine.until(() => gateway.hasExited)
    expect([gateway.exitCode, loggedLine(gateway, 'daemon left').cutExchanges]).to.deep.equal([0, 0])
  })

  it('come with metrics of its memory and of the delay of its event loop', async () => {
    const gateway = await machine.start()
    await machine.until(() => hasLogged(gateway, 'daemon started'))
    const text = await (await request(`http://${host}:${METRICS_PORT}/metrics`)).body.text()
    expect(text).to.match(/^lovagehoist_memory_limit_bytes\{instance="gate"\} 367001600$/m)
    expect(Number(/^lovagehoist_memory_resident_bytes\{instance="gate"\} (\d+)$/m.exec(text)?.[1])).to.be.above(10_000_000)
    expect(text).to.match(/^lovagehoist_event_loop_delay_seconds_count\{instance="gate"\} \d+$/m)
  })

  it('name the field of wrong settings', async () => {
    const gateway = await machine.start('much')
    await machine.until(() => gateway.hasExited)
    expect(gateway.exitCode).to.equal(2)
    expect(gateway.output.at(-1)).to.match(/gate\.json: limits\.memory_mb: expected/)
  })

  it('name the step of the start in which it was stopped', async () => {
    const gateway = await machine.start('much')
    await machine.until(async () => await gateway.catchesSignals())
    gateway.signal('SIGTERM')
    await machine.until(() => gateway.hasExited)
    expect([gateway.exitCode, loggedLine(gateway, 'stopped before it served').step]).to.deep.equal([0, 'settings'])
  })

  it('name the error of a start that failed', async () => {
    const taken = createSocket('udp4')
    await new Promise<void>(resolve => { taken.bind(PEER_PORT, host, resolve) })
    try {
      const gateway = await machine.start()
      await machine.until(() => gateway.hasExited)
      expect([gateway.exitCode, loggedLine(gateway, 'start failed').code]).to.deep.equal([1, 'EADDRINUSE'])
    } finally {
      taken.close()
    }
  })

  it('tell that it was near the limit of its memory', async () => {
    const gateway = await machine.start(40)
    await machine.until(() => hasLogged(gateway, 'memory above nine tenths of its limit'))
    gateway.signal('SIGKILL')
    await machine.until(() => gateway.hasExited)
    const { residentBytes, limitBytes, heapUsedBytes } = loggedLine(gateway, 'memory above nine tenths of its limit') as Readonly<Record<string, number>>
    expect([gateway.exitCode, limitBytes]).to.deep.equal(['SIGKILL', 41_943_040])
    expect(residentBytes).to.be.above(heapUsedBytes ?? Infinity)
  })
})
