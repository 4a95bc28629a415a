import { fileURLToPath } from 'node:url'
import { createConfig } from '../lib/config.mjs'
import { Machines, createHosts } from '../lib/gateway.mjs'
import { Record, sleepMs, waitUntil } from '../lib/record.mjs'
import { hasTrouble, runCase } from '../lib/runCase.mjs'
import { Store } from '../lib/store.mjs'
import { Upstream, bodyOf } from '../lib/upstream.mjs'
import { callOnce } from '../lib/client.mjs'

const HOST_NAME = 'hulo84.example'
const SERVICE = 'wuno96b'
const WORK_MS = 300
const REQUEST_INTERVAL_MS = 25
const DRAIN_PERIOD_MS = 2_000
/** What the stand-ins themselves may add to a time, in favour of the gateway. */
const TOLERANCE_MS = 25
/** A leaving upstream serves for drain_period and a little longer, in which it ends what arrived within drain_period, and then exits. */
const EXIT_AFTER_MS = DRAIN_PERIOD_MS + 400
const CUTS = 8
const CUT_MS = 5_500
const PAUSE_MS = 3_500

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)))

const answer = (run, request, response, upstream) => {
  const timer = setTimeout(() => {
    const body = bodyOf(run.id, 1_500)
    run.isAnswered = true
    response.writeHead(200, { 'content-length': body.length }).end(body)
  }, WORK_MS)
  response.once('close', () => {
    clearTimeout(timer)
    if (run.isAnswered !== true) record.add('run broken off', { upstream: upstream.id, id: run.id })
  })
}

const config = createConfig({ host: HOST_NAME, service: SERVICE, prefix: '/xapu221/ny95/', kind: 'unsafe', timeoutMs: 3_000 })

const play = async () => {
  const nextHost = createHosts()
  const store = new Store()
  const machines = new Machines({ record })
  const upstreams = []
  const late = []
  const answers = { served: 0, failed: 0, refused: 0 }
  let isCalling = true
  const addUpstream = async () => {
    const upstream = new Upstream({ id: `i-7f3a${100 + upstreams.length}`, service: SERVICE, host: nextHost(), record, answer })
    upstreams.push(upstream)
    await upstream.start()
    store.put('servers', upstream.id, upstream.row)
    return upstream
  }
  /** An upstream leaves: it says so, goes on for drain_period and a little longer, and exits. */
  const leave = async upstream => {
    upstream.state = 'draining'
    store.put('servers', upstream.id, upstream.row)
    const acknowledgedAtMs = record.nowMs
    record.add('draining acknowledged by the store', { upstream: upstream.id })
    await sleepMs(EXIT_AFTER_MS)
    upstream.stop()
    store.remove('servers', upstream.id)
    const runs = upstream.runs.filter(({ atMs }) => atMs > acknowledgedAtMs + DRAIN_PERIOD_MS + TOLERANCE_MS)
    late.push(...runs)
    const last = upstream.runs.at(-1)
    record.add('upstream gone', { upstream: upstream.id, lastRunAfterMs: last === undefined ? undefined : Math.round(last.atMs - acknowledgedAtMs), later: runs.map(({ id, atMs }) => ({ id, afterMs: Math.round(atMs - acknowledgedAtMs) })) })
  }
  try {
    for (let count = 0; count < 2; count++) await addUpstream()
    store.put('op', 'config', config)
    for (const number of [1, 2, 3]) {
      const host = nextHost()
      machines.start(await machines.add({ name: `edge-${number}`, host, store: await store.open(host) }))
    }
    if (!await machines.untilReady()) return 2
    await sleepMs(4_000)
    const [first, second, third] = machines.all
    let number = 0
    const calls = new Set()
    const caller = setInterval(() => {
      if (!isCalling) return
      const id = `9c41d07b${String(++number).padStart(8, '0')}`
      record.add('sent', { id, to: third.name })
      const call = callOnce({ host: third.host, port: machines.ports.front, method: 'POST', path: '/xapu221/ny95/2f', id, deadlineMs: 6_000, headerHost: HOST_NAME, body: Buffer.from(`order ${number}`) }).then(({ status, isComplete }) => {
        record.add('answered', { id, status, isComplete })
        if (status === 200 && isComplete) answers.served++
        else if (status === 503 || status === 429) answers.refused++
        else answers.failed++
        calls.delete(call)
      })
      calls.add(call)
    }, REQUEST_INTERVAL_MS)
    /** Listing reads of the third machine, the only one that requests are sent to. */
    const untilRead = async limitMs => {
      const before = third.store.listingReads
      return await waitUntil(() => third.store.listingReads > before, limitMs)
    }
    await sleepMs(2_000)
    for (let cut = 1; cut <= CUTS; cut++) {
      await addUpstream()
      record.add('part begins', { cut })
      const startedAtMs = record.nowMs
      if (hasTrouble) for (const machine of [first, second]) machine.store.cut()
      await untilRead(2_500)
      await sleepMs(20)
      const [leaver] = upstreams.filter(({ state, isStopped }) => state === 'ready' && !isStopped)
      const leaving = leave(leaver)
      await sleepMs(Math.max(0, startedAtMs + CUT_MS - record.nowMs))
      for (const machine of [first, second]) machine.store.heal()
      record.add('part ends', { cut })
      await Promise.all([leaving, sleepMs(PAUSE_MS)])
    }
    isCalling = false
    clearInterval(caller)
    await Promise.all(calls)
    record.add('sum', { requests: number, ...answers, late: late.length, lateBrokenOff: late.filter(({ isAnswered }) => isAnswered !== true).length })
    record.add(late.length > 0 ? 'rule broken: requests reached an upstream later than drain_period' : 'rule held')
    if (answers.served < number / 2) return 2
    return late.length > 0 ? 1 : 0
  } finally {
    isCalling = false
    await machines.close()
    for (const upstream of upstreams) if (!upstream.isStopped) upstream.stop()
    store.close()
  }
}

runCase(play)
