import { createConfig } from './config.mjs'
import { Machines, createHosts } from './gateway.mjs'
import { Record, sleepMs } from './record.mjs'
import { hasTrouble } from './runCase.mjs'
import { Store } from './store.mjs'
import { Upstream, bodyOf, signatureOf } from './upstream.mjs'
import { callOnce } from './client.mjs'

const HOST_NAME = 'jepu9.example'
const SERVICE = 'huvo11a'
const BODY_BYTES = 3_000_000
const FIRST_BYTES = 1_600_000
const PIECE_BYTES = 50_000
const PIECE_MS = 240
const TIMEOUT_MS = 8_000
const DEADLINE_MS = 8_000
const TROUBLE_AFTER_MS = 500
const GRACE_MS = 6_000
const REQUEST_ID = '9c41d07be2a35f68'
/** Other downloads, whose answers have a length: one answer of 31 has none, fewer than one in twenty. */
const ORDINARY_REQUESTS = 30
const ORDINARY_BYTES = 5_000
const ORDINARY_INTERVAL_MS = 100

const answerFramed = (run, response) => {
  const body = bodyOf(run.id, ORDINARY_BYTES)
  response.writeHead(200, { 'content-length': body.length }).end(body)
}

/** Answers a download without a length: its end is the end of the connection. The first half is there at once, the rest comes over 6.7 s. */
const answerUnframed = (run, request, response, upstream) => {
  const { socket } = request
  const body = bodyOf(run.id, BODY_BYTES)
  socket.write(`HTTP/1.1 200 OK\r\nX-Lovagehoist-Request-Id: ${run.id}\r\nX-Lovagehoist-Upstream-Signature: ${signatureOf(run.id)}\r\nConnection: close\r\n\r\n`)
  socket.write(body.subarray(0, FIRST_BYTES))
  let sent = FIRST_BYTES
  const timer = setInterval(() => {
    socket.write(body.subarray(sent, sent + PIECE_BYTES))
    sent += PIECE_BYTES
    if (sent < BODY_BYTES) return
    clearInterval(timer)
    socket.end()
    upstream.record.add('answered whole', { upstream: upstream.id, id: run.id, bytes: BODY_BYTES })
  }, PIECE_MS)
  socket.once('close', () => { clearInterval(timer) })
}

const answer = (run, request, response, upstream) => {
  if (run.id === REQUEST_ID) answerUnframed(run, request, response, upstream)
  else answerFramed(run, response)
}

const config = createConfig({ host: HOST_NAME, service: SERVICE, prefix: '/fiti832/ti23/', kind: 'download', timeoutMs: TIMEOUT_MS })

/**
 * Plays a download whose answer has no length through one of two machines, and lets trouble strike that machine while the answer is on its way.
 * Returns the exit code of the script.
 */
export const playUnframed = async ({ recordPath, strike }) => {
  const record = new Record(recordPath)
  const nextHost = createHosts()
  const store = new Store()
  const machines = new Machines({ record })
  const upstreams = []
  try {
    for (const number of [1, 2]) upstreams.push(new Upstream({ id: `i-7f3a91c${number}`, service: SERVICE, host: nextHost(), record, answer }))
    for (const upstream of upstreams) {
      await upstream.start()
      store.put('servers', upstream.id, upstream.row)
    }
    store.put('op', 'config', config)
    for (const number of [1, 2]) {
      const host = nextHost()
      machines.start(await machines.add({ name: `edge-${number}`, host, store: await store.open(host) }))
    }
    if (!await machines.untilReady()) {
      record.add('the machines did not become ready')
      return 2
    }
    const call = async (machine, id) => await callOnce({ host: machine.host, port: machines.ports.front, path: '/fiti832/ti23/2f', id, deadlineMs: DEADLINE_MS, headerHost: HOST_NAME })
    const ordinary = []
    for (let number = 0; number < ORDINARY_REQUESTS; number++) {
      const ordinaryId = `c0ffee${String(number).padStart(10, '0')}`
      const { status, body, isComplete } = await call(machines.all[number % 2], ordinaryId)
      const isServed = status === 200 && isComplete && body.equals(bodyOf(ordinaryId, ORDINARY_BYTES))
      record.add('ordinary answer', { id: ordinaryId, status, isServed })
      ordinary.push(isServed)
      await sleepMs(ORDINARY_INTERVAL_MS)
    }
    if (!ordinary.every(Boolean)) return 2
    const [machine] = machines.all
    const id = REQUEST_ID
    record.add('sent', { id, to: machine.name })
    const called = call(machine, id)
    await sleepMs(TROUBLE_AFTER_MS)
    if (hasTrouble) {
      await strike(machines, machine)
      // As the platform does: SIGKILL after grace_period.
      setTimeout(() => { if (machine.child.exitCode === null && machine.child.signalCode === null) machines.signal(machine, 'SIGKILL') }, GRACE_MS).unref()
    }
    const received = await called
    const whole = bodyOf(id, BODY_BYTES)
    const isWhole = received.body.equals(whole)
    const isBeginning = whole.subarray(0, received.body.length).equals(received.body)
    record.add('answer', { id, status: received.status, framing: received.framing, signature: received.headers.get('x-lovagehoist-upstream-signature'), bytes: received.body.length, ofBytes: BODY_BYTES, isBeginning, isWhole, looksComplete: received.isComplete, error: received.error })
    if (!upstreams.some(({ runs }) => runs.some(run => run.id === id))) return 2
    const isBroken = received.status >= 200 && received.status < 300 && received.isComplete && !isWhole
    record.add(isBroken ? 'rule broken: a success that looks complete, with a part of the body' : 'rule held')
    if (!hasTrouble && !(received.isComplete && isWhole)) return 2
    return isBroken ? 1 : 0
  } finally {
    await machines.close()
    for (const upstream of upstreams) upstream.stop()
    store.close()
  }
}
