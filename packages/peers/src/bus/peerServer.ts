import { JSONRPCServer, createJSONRPCErrorResponse, isJSONRPCRequest } from 'json-rpc-2.0'
import type { JSONRPCID } from 'json-rpc-2.0'
import type { z } from 'zod'
import type { Log } from '@lovagehoist/common'
import type { Packet } from '../wire/codec.js'
import { codecOf, decodePacket, encodePacket } from '../wire/codec.js'
import { MAX_MESSAGE_BYTES, REFUSAL_CODES, WIRE_VERSION, requestSchemas } from '../wire/messages.js'
import type { AnswerOf, MessageHead, MethodName, RefusalReason, RequestOf } from '../wire/messages.js'
import { HTTP_HEADER_BYTES } from './peerClient.js'
import type { PeerClientOptions } from './peerClient.js'
import { ReplayWindow } from './replayWindow.js'

/** Handlers by method; each returns the answer without the common message head. */
export type PeerHandlers = {
  readonly [M in MethodName]: (request: RequestOf<M>) => Promise<Omit<AnswerOf<M>, keyof MessageHead>>
}

/** Options of a peer server. */
export interface PeerServerOptions extends Pick<PeerClientOptions, 'self' | 'environment' | 'budget' | 'metrics' | 'members'> {
  readonly handlers: PeerHandlers
  readonly createHead: (instanceId: string, startId: string) => MessageHead
  readonly log: Log
}

/** Signals that a message failed validation. */
class RefusalError extends Error {
  constructor (readonly reason: RefusalReason) {
    super(`the message is refused: ${reason}`)
  }
}

/** Answers requests of other daemons; a request that is malformed, replayed or meant for another process is refused without effect. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer({ errorListener: () => {} })
  private readonly replayWindow = ReplayWindow.create()

  private constructor (private readonly options: PeerServerOptions) {
    this.rpc.mapErrorToJSONRPCErrorResponse = (id, error: unknown) => this.toErrorResponse(id, error)
    for (const method of Object.keys(requestSchemas) as readonly MethodName[]) {
      this.rpc.addMethodAdvanced(method, async request => {
        const result = await this.handleRequest(method, request.id, request.params)
        return { jsonrpc: '2.0', id: request.id ?? null, result }
      })
    }
  }

  /**
   * Creates a server.
   *
   * @param options - Identity, byte budget, metrics, member table and handlers.
   * @returns The server.
   */
  static create (options: PeerServerOptions): PeerServer {
    return new PeerServer(options)
  }

  /** Answers a packet; returns undefined if it does not contain a JSON-RPC request. */
  readonly receive = async (packet: Packet): Promise<Packet | undefined> => {
    this.countBytes('received', packet)
    if (packet.body.length > MAX_MESSAGE_BYTES) return this.refuseWithoutAnswer('oversized')
    const request = decodePacket(packet).unwrapOr(undefined) ?? {}
    if (!isJSONRPCRequest(request)) return this.refuseWithoutAnswer('malformed')
    const response = await this.rpc.receive(request)
    if (response === null) return this.refuseWithoutAnswer('malformed')
    const answer = encodePacket(codecOf(packet), response)
    this.countBytes('sent', answer)
    return answer
  }

  private async handleRequest (method: MethodName, id: JSONRPCID | undefined, params: unknown): Promise<object> {
    const { handlers, createHead, members } = this.options
    const parsed = (requestSchemas[method] as z.ZodType<RequestOf<MethodName>>).safeParse(params)
    if (!parsed.success) throw new RefusalError(this.hasOtherVersion(params) ? 'version' : 'malformed')
    const request = parsed.data
    const reason = this.findRefusalReason(request, id)
    if (reason !== undefined) throw new RefusalError(reason)
    const [instanceId, startId] = request.from
    members.recordMessage(instanceId, startId, request.room)
    const handler = handlers[method] as (request: RequestOf<MethodName>) => Promise<object>
    const answer = await handler(request)
    return { ...createHead(instanceId, startId), ...answer }
  }

  private findRefusalReason (request: MessageHead, id: JSONRPCID | undefined): RefusalReason | undefined {
    const { self, environment, members } = this.options
    const [instanceId, startId] = request.from
    const [toId, toStartId] = request.to
    if (environment !== request.environment || toId !== self.instanceId || instanceId === self.instanceId) return 'foreign'
    if (toStartId !== '' && toStartId !== self.startId) return 'incarnation'
    if (members.isEarlierProcess(instanceId, startId)) return 'incarnation'
    if (typeof id !== 'number' || !Number.isSafeInteger(id)) return 'malformed'
    return this.replayWindow.admit(startId, id) ? undefined : 'replayed'
  }

  private hasOtherVersion (params: unknown): boolean {
    const version = typeof params === 'object' && params !== null && 'version' in params ? params.version : undefined
    return typeof version === 'number' && version !== WIRE_VERSION
  }

  private toErrorResponse (id: JSONRPCID, error: unknown): ReturnType<typeof createJSONRPCErrorResponse> {
    if (error instanceof RefusalError) {
      this.options.metrics.countRefusal(error.reason)
      return createJSONRPCErrorResponse(id, REFUSAL_CODES[error.reason], error.message)
    }
    const message = error instanceof Error ? error.message : String(error)
    this.options.log.debug('peer request failed', { error: message })
    return createJSONRPCErrorResponse(id, 0, message)
  }

  private refuseWithoutAnswer (reason: RefusalReason): undefined {
    this.options.metrics.countRefusal(reason)
    return undefined
  }

  private countBytes (direction: 'sent' | 'received', packet: Packet): void {
    const bytes = packet.body.length + HTTP_HEADER_BYTES
    this.options.budget.spend(bytes)
    this.options.metrics.countBytes(direction, 'answer', bytes)
  }
}
