// What the scripts of all cases share: the record, a configuration, and upstreams that beat as PROTOCOL.md describes.
import { appendFileSync, writeFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { Gateway, choosePorts, networkOf, withFolder } from './gateway.mjs'
import { Store } from './store.mjs'
import { Upstream } from './upstream.mjs'

export { sleep }
export const HAS_TROUBLE = process.env.TROUBLE !== '0'
export const HOST = 'jepu9.example'
export const STABILITY_MS = 3_000
const BEAT_MS = 1_500
const LAPSE_MS = 3 * BEAT_MS
const MAX_RUN_MS = 115_000
const EXIT_COULD_NOT_RUN = 2

export const routeOf = (name, kind, service, more = {}) => ({ name: `r-${name}`, host: HOST, path_prefix: `/${name}/`, kind, timeout: '3000ms', target_latency: '1200ms', priority: 1, service, max_attempts: 2, ...more })

export const configOf = (version, routes, services) => ({
  version: `r${version}`,
  routes,
  services: services.map(name => ({ name, health_path: '/health', max_connections: 390, protocol: 'h1', tls: false })),
  limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout: '3000ms', idle_timeout: '15000ms' }
})

/** An upstream with its entry in the store, which it repeats with every beat. */
export class RegisteredUpstream {
  state = 'ready'
  boots = 0

  static async start (store, host, service, zone, name, onRun) {
    const registered = new RegisteredUpstream()
    Object.assign(registered, { store, service, zone, name })
    registered.upstream = await Upstream.start(host, `i-${name}-0`, run => { onRun(run, registered) })
    registered.beat()
    registered.timer = setInterval(() => { registered.beat() }, BEAT_MS)
    return registered
  }

  get id () { return this.upstream.id }

  beat () {
    if (this.upstream.isUp && this.state !== 'gone') this.store.put('servers', this.id, this.upstream.row(this.service, this.zone, this.state))
  }

  /** Crashes, and comes back at the same address after a while as a new boot with a new id; the old entry lapses. */
  async crash (downMs) {
    const { id } = this
    await this.upstream.stop()
    setTimeout(() => { this.store.remove('servers', id) }, LAPSE_MS)
    await sleep(downMs)
    Object.assign(this.upstream, { id: `i-${this.name}-${++this.boots}`, born: Date.now(), sequence: 1 })
    await this.upstream.listen()
    this.beat()
  }

  async close () {
    clearInterval(this.timer)
    await this.upstream.stop()
  }
}

/** Runs a case, with its record in the given file and settings in a folder of its own, and exits with its result; ends all processes that it started. */
export const runCase = async (file, play) => {
  const startedAtMs = performance.now()
  const record = text => { appendFileSync(file, `${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}\n`) }
  writeFileSync(file, `case of ${new Date().toISOString()}, ${HAS_TROUBLE ? 'with' : 'without'} the disruption\n`)
  const gateways = []
  const closers = []
  const kill = () => { for (const { lives } of gateways) for (const life of lives) life.kill('SIGKILL') }
  const end = code => {
    kill()
    process.exit(code)
  }
  const limit = setTimeout(() => {
    record('could not run: it took too long')
    end(EXIT_COULD_NOT_RUN)
  }, MAX_RUN_MS)
  process.on('SIGTERM', () => { end(EXIT_COULD_NOT_RUN) }).on('SIGINT', () => { end(EXIT_COULD_NOT_RUN) })
  try {
    const isBroken = await withFolder(async folder => {
      const network = networkOf(process.pid)
      const ports = await choosePorts(`${network}.2`)
      const store = await Store.start('127.0.0.1')
      closers.push(() => { store.close() })
      const addGateway = async (name, zone, more = {}) => {
        const gateway = await Gateway.create({ folder, name, ip: `${network}.${gateways.length + 2}`, zone, storeAddress: store.address, logs: process.env.LOGS, ports, ...more })
        gateways.push(gateway)
        return gateway
      }
      try {
        return await play({ folder, store, network, record, addGateway, onClose: close => closers.push(close) })
      } finally {
        for (const { lives } of gateways) for (const life of lives) life.kill('SIGCONT')
        kill()
        await Promise.all(gateways.map(async ({ exited }) => await exited))
        for (const close of closers) await close()
      }
    })
    clearTimeout(limit)
    record(isBroken ? 'result: the rule was broken' : 'result: the rule held')
    console.log(isBroken ? 'the rule was broken' : 'the rule held')
    end(isBroken ? 1 : 0)
  } catch (error) {
    record(`could not run: ${error.stack}`)
    console.error(error)
    end(EXIT_COULD_NOT_RUN)
  }
}
