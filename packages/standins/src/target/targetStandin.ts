import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { sha256Hex } from '@lovagehoist/common'
import type { Clock, Random } from '@lovagehoist/common'
import { sendJson } from '../process/httpBody.js'
import { answerBody } from './answerBody.js'
import { HEALTHY_BEHAVIOUR } from './behaviour.js'
import type { BreakPoint, TargetBehaviour } from './behaviour.js'
import type { JournalEntry } from './journal.js'

/** What a target stand-in needs. */
export interface TargetStandinOptions {
  readonly id: string
  readonly clock: Clock
  readonly random: Random
  readonly behaviour?: Partial<TargetBehaviour>
}

/** Answer by which the stand-in refuses a request before running it. */
export const SHED_STATUS = 503
/** Header of the shed answer. */
export const SHED_HEADER = 'x-target-shed'
/** Header by which the stand-in says that it is leaving. */
export const DRAIN_HEADER = 'x-target-draining'

const SPIKE_FACTOR = 10
const DEFAULT_ANSWER_BYTES = 256
const PROBE_PATH = '/healthz'

/** Stand-in of a target: runs requests in slots, keeps a journal, and fails as told. */
export class TargetStandin {
  private behaviour: TargetBehaviour
  private running = 0
  private waiting: ReadonlyArray<() => void> = []
  private readonly entries: JournalEntry[] = []
  private readonly silent = new WeakSet<Socket>()
  private readonly sockets = new Set<Socket>()
  private readonly startedAtMs: number
  private shedCount = 0
  private lastAtMs = 0

  private constructor (private readonly options: TargetStandinOptions, private readonly server: Server) {
    this.behaviour = { ...HEALTHY_BEHAVIOUR, ...options.behaviour }
    this.startedAtMs = options.clock.monotonicMs()
    server.on('connection', socket => { this.accept(socket) })
    server.on('request', (request, response) => { this.serve(request, response).catch(() => { request.socket.destroy() }) })
  }

  /**
   * Starts a target on the loopback address.
   *
   * @param options - Name, time, randomness and behaviour.
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
    return this.entries
  }

  /** Requests refused with the shed answer. */
  get shed (): number {
    return this.shedCount
  }

  /** Wall-clock time of the last request, in milliseconds since the Unix epoch; 0 for none. */
  get lastRequestAtMs (): number {
    return this.lastAtMs
  }

  /** Connections open now. */
  get connections (): number {
    return this.sockets.size
  }

  /** Changes the behaviour. */
  set (change: Partial<TargetBehaviour>): void {
    if (change.isSilent === true) for (const socket of this.sockets) this.silent.add(socket)
    this.behaviour = { ...this.behaviour, ...change }
  }

  /** Stops the target at once, cutting its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      for (const socket of this.sockets) socket.destroy()
    })
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    if (this.breaksAt('after-accept')) socket.destroy()
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.silent.has(request.socket)) return
    if (request.url === PROBE_PATH) {
      sendJson(response, this.behaviour.isProbeHealthy ? 200 : 500, {})
      return
    }
    this.lastAtMs = this.options.clock.wallMs()
    const breakAt = this.drawBreak()
    if (breakAt === 'after-head') request.socket.destroy()
    const body = await this.readBody(request, breakAt)
    if (breakAt === 'after-body') request.socket.destroy()
    if (body === undefined || request.socket.destroyed) return
    if (this.mustShed()) {
      this.answerShed(response)
      return
    }
    await this.takeSlot()
    try {
      await this.run(request, response, body, breakAt)
    } finally {
      this.freeSlot()
    }
  }

  private async readBody (request: IncomingMessage, breakAt: BreakPoint | undefined): Promise<Buffer | undefined> {
    const chunks: Buffer[] = []
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        if (breakAt === 'mid-body') request.socket.destroy()
        chunks.push(chunk)
      }
      return Buffer.concat(chunks)
    } catch {
      return undefined
    }
  }

  private async run (request: IncomingMessage, response: ServerResponse, body: Buffer, breakAt: BreakPoint | undefined): Promise<void> {
    const { clock, random } = this.options
    const isSick = this.isSick()
    const status = isSick && random.next() < this.behaviour.failShare ? 500 : 200
    const isStalled = isSick && random.next() < this.behaviour.stallShare
    const runId = String(request.headers['x-run-id'] ?? '')
    const bodyDigest = sha256Hex(body)
    const { method = '', url: path = '' } = request
    this.entries.push({ runId, targetId: this.options.id, method, path, bodyDigest, atMs: clock.wallMs(), status: isStalled ? 0 : status })
    if (this.behaviour.poison !== '' && body.includes(this.behaviour.poison)) {
      await this.close()
      return
    }
    await clock.sleepMs(this.workMsOf(request))
    if (isStalled) {
      await new Promise<void>(resolve => { response.once('close', () => { resolve() }) })
      return
    }
    const lengthBytes = Number(request.headers['x-answer-bytes'] ?? DEFAULT_ANSWER_BYTES)
    this.answer(response, status, answerBody(runId, bodyDigest, lengthBytes), breakAt)
  }

  private answer (response: ServerResponse, status: number, body: Buffer, breakAt: BreakPoint | undefined): void {
    const socket = response.socket
    if (breakAt === 'after-run') {
      socket?.destroy()
      return
    }
    if (this.behaviour.isDraining) response.setHeader(DRAIN_HEADER, '1')
    response.writeHead(status, { 'content-type': 'application/octet-stream', 'content-length': body.length })
    const cut: Partial<Record<BreakPoint, number>> = { 'after-status': 0, 'mid-answer': body.length >> 1, 'before-last-byte': body.length - 1 }
    const cutAtBytes = breakAt === undefined ? undefined : cut[breakAt]
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

  private isSick (): boolean {
    const { flapMs } = this.behaviour
    return flapMs === 0 || Math.floor(this.options.clock.monotonicMs() / flapMs) % 2 === 1
  }

  private drawBreak (): BreakPoint | undefined {
    const { breakShare, breakAt } = this.behaviour
    return breakAt !== 'after-accept' && this.options.random.next() < breakShare ? breakAt : undefined
  }

  private breaksAt (point: BreakPoint): boolean {
    return this.behaviour.breakAt === point && this.options.random.next() < this.behaviour.breakShare
  }

  private mustShed (): boolean {
    const { slots, maxWaiting, isDraining } = this.behaviour
    return isDraining || (this.running >= slots && this.waiting.length >= maxWaiting)
  }

  private answerShed (response: ServerResponse): void {
    this.shedCount++
    response.setHeader(SHED_HEADER, '1')
    if (this.behaviour.isDraining) response.setHeader(DRAIN_HEADER, '1')
    sendJson(response, SHED_STATUS, { shed: true })
  }

  private async takeSlot (): Promise<void> {
    if (this.running < this.behaviour.slots) {
      this.running++
      return
    }
    await new Promise<void>(resolve => { this.waiting = [...this.waiting, resolve] })
  }

  private freeSlot (): void {
    const [next, ...others] = this.waiting
    this.waiting = others
    if (next === undefined) this.running--
    else next()
  }
}
