import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { sha256Hex } from '@lovagehoist/common'
import type { Clock, Random } from '@lovagehoist/common'
import { sendJson } from '../process/httpBody.js'
import { createResponseBody } from './responseBody.js'
import { HEALTHY_BEHAVIOUR } from './behaviour.js'
import type { DisconnectPoint, TargetBehaviour } from './behaviour.js'
import type { JournalEntry } from './journal.js'

/** Dependencies and initial behaviour of a target stand-in. */
export interface TargetStandinOptions {
  readonly id: string
  readonly clock: Clock
  readonly random: Random
  readonly behaviour?: Partial<TargetBehaviour>
}

/** Status by which the stand-in refuses a request without running it. */
export const SHED_STATUS = 503
/** Header that marks the shed response. */
export const SHED_HEADER = 'x-target-shed'
/** Header that announces that the stand-in is draining. */
export const DRAIN_HEADER = 'x-target-draining'

const SPIKE_FACTOR = 10
const DEFAULT_RESPONSE_BYTES = 256
const PROBE_PATH = '/healthz'

/** Stand-in of a target: runs requests in a limited number of slots, records each in a journal, and injects faults. */
export class TargetStandin {
  private behaviour: TargetBehaviour
  private running = 0
  private slotQueue: ReadonlyArray<() => void> = []
  private readonly journalEntries: JournalEntry[] = []
  private readonly silentSockets = new WeakSet<Socket>()
  private readonly sockets = new Set<Socket>()
  private readonly startedAtMs: number
  private shedCount = 0
  private lastRequestWallMs = 0

  private constructor (private readonly options: TargetStandinOptions, private readonly server: Server) {
    this.behaviour = { ...HEALTHY_BEHAVIOUR, ...options.behaviour }
    this.startedAtMs = options.clock.monotonicMs()
    server.on('connection', socket => { this.trackConnection(socket) })
    server.on('request', (request, response) => { this.handleRequest(request, response).catch(() => { request.socket.destroy() }) })
  }

  /**
   * Starts a target on the loopback address.
   *
   * @param options - ID, clock, random numbers and behaviour.
   * @returns The target, once it listens.
   */
  static async create (options: TargetStandinOptions): Promise<TargetStandin> {
    const server = createServer({ keepAliveTimeout: 0 })
    const standin = new TargetStandin(options, server)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', () => { resolve() }) })
    return standin
  }

  /** Port that the target listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Requests that the target began to run, oldest first. */
  get journal (): readonly JournalEntry[] {
    return this.journalEntries
  }

  /** Number of requests refused with the shed response. */
  get shed (): number {
    return this.shedCount
  }

  /** Wall-clock time of the last request, in milliseconds since the Unix epoch; 0 for none. */
  get lastRequestAtMs (): number {
    return this.lastRequestWallMs
  }

  /** Number of open connections. */
  get connections (): number {
    return this.sockets.size
  }

  /** Changes the behaviour; fields left out stay as they are. */
  setBehaviour (change: Partial<TargetBehaviour>): void {
    if (change.isSilent === true) for (const socket of this.sockets) this.silentSockets.add(socket)
    this.behaviour = { ...this.behaviour, ...change }
  }

  /** Stops the target at once and closes its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      for (const socket of this.sockets) socket.destroy()
    })
  }

  private trackConnection (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    if (this.drawsDisconnectAt('after-accept')) socket.destroy()
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.silentSockets.has(request.socket)) return
    if (request.url === PROBE_PATH) {
      sendJson(response, this.behaviour.isProbeHealthy ? 200 : 500, {})
      return
    }
    this.lastRequestWallMs = this.options.clock.wallMs()
    const disconnectAt = this.drawDisconnectPoint()
    if (disconnectAt === 'after-head') request.socket.destroy()
    const body = await this.readBody(request, disconnectAt)
    if (disconnectAt === 'after-body') request.socket.destroy()
    if (body === undefined || request.socket.destroyed) return
    if (this.shouldShed()) {
      this.sendShedResponse(response)
      return
    }
    await this.acquireSlot()
    try {
      await this.run(request, response, body, disconnectAt)
    } finally {
      this.releaseSlot()
    }
  }

  private async readBody (request: IncomingMessage, disconnectAt: DisconnectPoint | undefined): Promise<Buffer | undefined> {
    const chunks: Buffer[] = []
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        if (disconnectAt === 'mid-body') request.socket.destroy()
        chunks.push(chunk)
      }
      return Buffer.concat(chunks)
    } catch {
      return undefined
    }
  }

  private async run (request: IncomingMessage, response: ServerResponse, body: Buffer, disconnectAt: DisconnectPoint | undefined): Promise<void> {
    const { clock, random } = this.options
    const isFaulty = this.isInFaultyPhase()
    const status = isFaulty && random.next() < this.behaviour.failShare ? 500 : 200
    const isStalled = isFaulty && random.next() < this.behaviour.stallShare
    const runId = String(request.headers['x-run-id'] ?? '')
    const bodyDigest = sha256Hex(body)
    const { method = '', url: path = '' } = request
    this.journalEntries.push({ runId, targetId: this.options.id, method, path, bodyDigest, atMs: clock.wallMs(), status: isStalled ? 0 : status })
    if (this.behaviour.poison !== '' && body.includes(this.behaviour.poison)) {
      await this.close()
      return
    }
    await clock.sleepMs(this.workMsOf(request))
    if (isStalled) {
      await new Promise<void>(resolve => { response.once('close', () => { resolve() }) })
      return
    }
    const lengthBytes = Number(request.headers['x-answer-bytes'] ?? DEFAULT_RESPONSE_BYTES)
    this.sendResponse(response, status, createResponseBody(runId, bodyDigest, lengthBytes), disconnectAt)
  }

  private sendResponse (response: ServerResponse, status: number, body: Buffer, disconnectAt: DisconnectPoint | undefined): void {
    const socket = response.socket
    if (disconnectAt === 'after-run') {
      socket?.destroy()
      return
    }
    if (this.behaviour.isDraining) response.setHeader(DRAIN_HEADER, '1')
    response.writeHead(status, { 'content-type': 'application/octet-stream', 'content-length': body.length })
    const cutOffsets: Partial<Record<DisconnectPoint, number>> = { 'after-status': 0, 'mid-answer': body.length >> 1, 'before-last-byte': body.length - 1 }
    const cutAtBytes = disconnectAt === undefined ? undefined : cutOffsets[disconnectAt]
    if (cutAtBytes === undefined) {
      response.end(body)
      return
    }
    response.flushHeaders()
    response.write(body.subarray(0, cutAtBytes), () => { socket?.destroy() })
  }

  private workMsOf (request: IncomingMessage): number {
    const { behaviour, options } = this
    const workMs = Number(request.headers['x-work-ms'] ?? behaviour.workMs)
    const isCold = options.clock.monotonicMs() - this.startedAtMs < behaviour.coldMs
    const isSpike = options.random.next() < behaviour.spikeShare
    return workMs * (isCold ? behaviour.coldFactor : 1) * (isSpike ? SPIKE_FACTOR : 1)
  }

  private isInFaultyPhase (): boolean {
    const { flapMs } = this.behaviour
    return flapMs === 0 || Math.floor(this.options.clock.monotonicMs() / flapMs) % 2 === 1
  }

  private drawDisconnectPoint (): DisconnectPoint | undefined {
    const { breakShare, breakAt } = this.behaviour
    return breakAt !== 'after-accept' && this.options.random.next() < breakShare ? breakAt : undefined
  }

  private drawsDisconnectAt (point: DisconnectPoint): boolean {
    return this.behaviour.breakAt === point && this.options.random.next() < this.behaviour.breakShare
  }

  private shouldShed (): boolean {
    const { slots, maxWaiting, isDraining } = this.behaviour
    return isDraining || (this.running >= slots && this.slotQueue.length >= maxWaiting)
  }

  private sendShedResponse (response: ServerResponse): void {
    this.shedCount++
    response.setHeader(SHED_HEADER, '1')
    if (this.behaviour.isDraining) response.setHeader(DRAIN_HEADER, '1')
    sendJson(response, SHED_STATUS, { shed: true })
  }

  private async acquireSlot (): Promise<void> {
    if (this.running < this.behaviour.slots) {
      this.running++
      return
    }
    await new Promise<void>(resolve => { this.slotQueue = [...this.slotQueue, resolve] })
  }

  private releaseSlot (): void {
    const [next, ...remaining] = this.slotQueue
    this.slotQueue = remaining
    if (next === undefined) this.running--
    else next()
  }
}
