import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { request } from 'undici'
import { SeededRandom } from '@lovagehoist/common'
import type { Random } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { runOpenLoop } from '../../load/openLoop.js'
import { HOST_NAME } from '../../soak/gateway/soakConfig.js'
import { SoakFleet } from '../../soak/gateway/soakFleet.js'
import { memoryOf } from '../processUsage.js'
import type { DaemonMemory } from '../processUsage.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { round } from './gatewayScenario.js'

/** The smallest machine of the deployments. */
const MEMORY_MB = 202
const TARGETS_PER_SERVICE = 3
const REQUESTS_PER_SECOND = 20
const MEAN_BODY_BYTES = 60_000
const MAX_BODY_BYTES = 360_000
/** Response that a stuck caller asks for; four of them exceed the socket buffers of both sides. */
const LARGE_RESPONSE_BYTES = 3_000_000
const STUCK_READERS_PER_SECOND = 4
const STUCK_REQUESTS = 4
const SLOW_SENDERS_PER_SECOND = 10
const STATED_BYTES = 900_000
const TRICKLE_MS = 500
const SAMPLE_MS = 50
const STATUS_OK = 200
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503])

interface Call {
  readonly id: string
  readonly status: number
  readonly isCorrect: boolean
}

const hostOf = (fleet: SoakFleet, index: number): { readonly host: string, readonly url: string } => {
  const instance = fleet.instances[index % fleet.instances.length]
  if (instance === undefined) throw new Error('no instance')
  const url = fleet.baseUrlOf(instance)
  return { host: instance.host, url }
}

/** Sends an upload or a read and checks the answer. */
const call = async (fleet: SoakFleet, random: Random, index: number): Promise<Call> => {
  const isUpload = index % 2 === 0
  const id = `${isUpload ? 'upload' : 'read'}-${index}`
  const bytes = Math.min(MAX_BODY_BYTES, Math.ceil(-Math.log(1 - random.next()) * MEAN_BODY_BYTES))
  const headers = { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: id }
  const service = isUpload ? 'orders' : 'menus'
  try {
    const response = await request(`${hostOf(fleet, index).url}/${service}/${id}`, { method: isUpload ? 'POST' : 'GET', headers, ...(isUpload ? { body: id.padEnd(bytes, 'b') } : {}) })
    const text = await response.body.text()
    return { id, status: response.statusCode, isCorrect: response.statusCode !== STATUS_OK || text === `answer to ${id} of ${service}` }
  } catch {
    return { id, status: 0, isCorrect: true }
  }
}

const open = (fleet: SoakFleet, index: number, sockets: Set<Socket>): Socket => {
  const { host, url } = hostOf(fleet, index)
  const socket = connect(Number(new URL(url).port), host)
  sockets.add(socket)
  return socket.on('error', () => {}).on('close', () => { sockets.delete(socket) })
}

/** Asks for large responses, pipelined, and never reads. */
const startStuckReader = (fleet: SoakFleet, index: number, sockets: Set<Socket>): void => {
  const socket = open(fleet, index, sockets)
  socket.pause()
  for (let part = 0; part < STUCK_REQUESTS; part++) socket.write(`GET /menus/x HTTP/1.1\r\nHost: ${HOST_NAME}\r\n${PLATFORM_HEADERS.requestId}: large-${index}-${part}\r\n\r\n`)
}

/** States a large body and sends two bytes a second of it. */
const startSlowSender = (fleet: SoakFleet, index: number, sockets: Set<Socket>): void => {
  const socket = open(fleet, index, sockets).resume()
  socket.write(`POST /orders/x HTTP/1.1\r\nHost: ${HOST_NAME}\r\n${PLATFORM_HEADERS.requestId}: slow-${index}\r\nContent-Length: ${STATED_BYTES}\r\n\r\n`)
  const trickle = (): void => {
    if (socket.destroyed) return
    socket.write('x')
    fleet.clock.after(TRICKLE_MS, trickle)
  }
  trickle()
}

/** Samples the memory of all daemons until stopped; returns the largest value of each kind in any of them. */
const sampleMemory = async (fleet: SoakFleet, signal: AbortSignal): Promise<DaemonMemory> => {
  let peak: DaemonMemory = { peakResidentMb: 0, unsharedMb: 0 }
  while (!signal.aborted) {
    await fleet.clock.sleepMs(SAMPLE_MS, signal)
    const running = fleet.instances.map(({ process: daemon }) => daemon).filter(({ hasExited }) => !hasExited)
    for (const { peakResidentMb, unsharedMb } of await Promise.all(running.map(memoryOf))) peak = { peakResidentMb: Math.max(peak.peakResidentMb, peakResidentMb), unsharedMb: Math.max(peak.unsharedMb, unsharedMb) }
  }
  return peak
}

const answerLarge = (fleet: SoakFleet): void => {
  const large = 'x'.repeat(LARGE_RESPONSE_BYTES)
  for (const { target } of fleet.targets) {
    const { responseBodyFor } = target
    target.responseBodyFor = id => id.startsWith('large') ? large : responseBodyFor(id)
  }
}

const figuresOf = (fleet: SoakFleet, { seed, variant, instances }: ScenarioArguments, calls: readonly Call[], memory: DaemonMemory): Figures => {
  const runs = fleet.targets.flatMap(({ target }) => target.runs)
  const uploads = runs.filter(({ requestId }) => requestId.startsWith('upload'))
  const ranIds = new Set(runs.map(({ requestId }) => requestId))
  const isWrongBody = ({ requestId, body }: { readonly requestId: string, readonly body: string }): boolean => !body.startsWith(requestId) || !/^b*$/.test(body.slice(requestId.length))
  const daemons = fleet.instances.map(({ process: daemon }) => daemon)
  return {
    scenario: 'bodies',
    variant,
    seed,
    instances,
    targets: fleet.targets.length,
    requests: calls.length,
    wrongAnswers: calls.filter(({ isCorrect }) => !isCorrect).length + uploads.filter(isWrongBody).length,
    duplicateRuns: uploads.length - new Set(uploads.map(({ requestId }) => requestId)).size,
    falseNotRun: calls.filter(({ id, status }) => NOT_RUN_STATUSES.has(status) && ranIds.has(id)).length,
    floorBreaches: null,
    invariantBreaches: daemons.flatMap(({ output }) => output).filter(line => line.includes('invariant breached')).length,
    memoryMb: MEMORY_MB,
    peakMemoryMb: Math.round(memory.peakResidentMb),
    peakUnsharedMb: Math.round(memory.unsharedMb),
    ended: daemons.filter(({ hasExited }) => hasExited).length,
    servedShare: round(calls.filter(({ status }) => status === STATUS_OK).length / calls.length),
    refused: calls.filter(({ status }) => NOT_RUN_STATUSES.has(status)).length,
    lost: calls.filter(({ status }) => status === 0).length
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const { seed, instances, durationMs, variant } = args
  const random = SeededRandom.create(seed)
  const fleet = await SoakFleet.create(random, { instances, targetsPerService: TARGETS_PER_SERVICE, memoryMb: MEMORY_MB })
  const sockets = new Set<Socket>()
  try {
    await fleet.pollUntilReady()
    answerLarge(fleet)
    const slow = variant === 'baseline'
      ? []
      : [
          runOpenLoop({ clock: fleet.clock, perSecond: STUCK_READERS_PER_SECOND, durationMs }, async index => { startStuckReader(fleet, index, sockets) }),
          runOpenLoop({ clock: fleet.clock, perSecond: SLOW_SENDERS_PER_SECOND, durationMs }, async index => { startSlowSender(fleet, index, sockets) })
        ]
    const calls: Call[] = []
    const sampling = new AbortController()
    const memory = sampleMemory(fleet, sampling.signal)
    await runOpenLoop({ clock: fleet.clock, perSecond: REQUESTS_PER_SECOND * instances, durationMs }, async index => { calls.push(await call(fleet, random, index)) })
    await Promise.all(slow)
    sampling.abort()
    return figuresOf(fleet, args, calls, await memory)
  } finally {
    for (const socket of sockets) socket.destroy()
    await fleet.close()
  }
}

/** Measures memory and other requests while callers read nothing and send bodies slowly; the baseline has no such callers. */
export const bodies: Scenario = {
  name: 'bodies',
  summary: 'uploads and reads on the smallest machine beside callers that read nothing and callers that send slowly',
  defaultInstances: 1,
  defaultSeconds: 20,
  run
}
