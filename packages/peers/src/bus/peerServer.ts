import { JSONRPCServer, createJSONRPCErrorResponse, isJSONRPCRequest } from 'json-rpc-2.0'
import type { JSONRPCID } from 'json-rpc-2.0'
import type { z } from 'zod'
import type { Log } from '@lovagehoist/common'
import type { Packet } from '../wire/codec.js'
import { codecOf, decodePacket, encodePacket } from '../wire/codec.js'
import { MAX_MESSAGE_BYTES, REFUSAL_CODES, WIRE_VERSION, requestSchemas } from '../wire/messages.js'
import type { AnswerOf, MessageHead, MethodName, RefusalReason, RequestOf } from '../wire/messages.js'
import { HTTP_HEAD_BYTES } from './peerClient.js'
import type { PeerClientOptions } from './peerClient.js'
import { ReplayWindow } from './replayWindow.js'

/** Handlers of the methods; each returns the answer without the fields that every message has. */
export type PeerHandlers = {
  readonly [M in MethodName]: (request: RequestOf<M>) => Promise<Omit<AnswerOf<M>, keyof MessageHead>>
}

/** What the server needs. */
export interface PeerServerOptions extends Pick<PeerClientOptions, 'self' | 'environment' | 'budget' | 'metrics' | 'members'> {
  readonly handlers: PeerHandlers
  readonly head: (instanceId: string, startId: string) => MessageHead
  readonly log: Log
}

class Refusal extends Error {
  constructor (readonly reason: RefusalReason) {
    super(`the message is refused: ${reason}`)
  }
}

/** Answers requests of other daemons; what is not a fresh request to this process is refused and changes nothing. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer({ errorListener: () => {} })
  private readonly window = ReplayWindow.create()

  private constructor (private readonly options: PeerServerOptions) {
    this.rpc.mapErrorToJSONRPCErrorResponse = (id, error: unknown) => this.toError(id, error)
    for (const method of Object.keys(requestSchemas) as readonly MethodName[]) {
      this.rpc.addMethodAdvanced(method, async request => {
        const result = await this.serve(method, request.id, request.params)
        return { jsonrpc: '2.0', id: request.id ?? null, result }
      })
    }
  }

  /**
   * Creates a server.
   *
   * @param options - This process, budget, counters, members and handlers.
   * @returns The server.
   */
  static create (options: PeerServerOptions): PeerServer {
    return new PeerServer(options)
  }

  /** Answers a packet; undefined when it holds no request at all. */
  readonly receive = async (packet: Packet): Promise<Packet | undefined> => {
    this.count('received', packet)
    if (packet.body.length > MAX_MESSAGE_BYTES) return this.ignore('oversized')
    const request = decodePacket(packet).unwrapOr(undefined) ?? {}
    if (!isJSONRPCRequest(request)) return this.ignore('malformed')
    const response = await this.rpc.receive(request)
    if (response === null) return this.ignore('malformed')
    const answer = encodePacket(codecOf(packet), response)
    this.count('sent', answer)
    return answer
  }

  private async serve (method: MethodName, id: JSONRPCID | undefined, params: unknown): Promise<object> {
    const { handlers, head, members } = this.options
    const parsed = (requestSchemas[method] as z.ZodType<RequestOf<MethodName>>).safeParse(params)
    if (!parsed.success) throw new Refusal(this.hasOtherVersion(params) ? 'version' : 'malformed')
    const request = parsed.data
    const reason = this.refusalOf(request, id)
    if (reason !== undefined) throw new Refusal(reason)
    const [instanceId, startId] = request.from
    members.heard(instanceId, startId, request.room)
    const handler = handlers[method] as (request: RequestOf<MethodName>) => Promise<object>
    const answer = await handler(request)
    return { ...head(instanceId, startId), ...answer }
  }

  private refusalOf (request: MessageHead, id: JSONRPCID | undefined): RefusalReason | undefined {
    const { self, environment, members } = this.options
    const [instanceId, startId] = request.from
    const [toId, toStartId] = request.to
    if (environment !== request.environment || toId !== self.instanceId || instanceId === self.instanceId) return 'foreign'
    if (toStartId !== '' && toStartId !== self.startId) return 'incarnation'
    if (members.isEarlier(instanceId, startId)) return 'incarnation'
    if (typeof id !== 'number' || !Number.isSafeInteger(id)) return 'malformed'
    return this.window.admit(startId, id) ? undefined : 'replayed'
  }

  private hasOtherVersion (params: unknown): boolean {
    const version = typeof params === 'object' && params !== null && 'version' in params ? params.version : undefined
    return typeof version === 'number' && version !== WIRE_VERSION
  }

  private toError (id: JSONRPCID, error: unknown): ReturnType<typeof createJSONRPCErrorResponse> {
    if (error instanceof Refusal) {
      this.options.metrics.refuse(error.reason)
      return createJSONRPCErrorResponse(id, REFUSAL_CODES[error.reason], error.message)
    }
    const message = error instanceof Error ? error.message : String(error)
    this.options.log.debug('answering a peer failed', { error: message })
    return createJSONRPCErrorResponse(id, 0, message)
  }

  private ignore (reason: RefusalReason): undefined {
    this.options.metrics.refuse(reason)
    return undefined
  }

  private count (direction: 'sent' | 'received', packet: Packet): void {
    const bytes = packet.body.length + HTTP_HEAD_BYTES
    this.options.budget.spend(bytes)
    this.options.metrics.moved(direction, 'answer', bytes)
  }
}
