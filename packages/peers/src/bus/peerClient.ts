import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { InstanceIdentity, PeerError } from '@lovagehoist/common'
import type { ByteBudget } from '../budget/byteBudget.js'
import type { MemberRecord } from '../membership/memberRecord.js'
import type { MemberTable } from '../membership/memberTable.js'
import type { PeerTransport } from '../transport/peerTransport.js'
import { decodePacket, encodePacket } from '../wire/codec.js'
import type { CodecName, Packet } from '../wire/codec.js'
import { MAX_MESSAGE_BYTES, REFUSAL_CODES, WIRE_VERSION, answerSchemas } from '../wire/messages.js'
import type { AnswerOf, MessageHead, MethodName, RequestOf } from '../wire/messages.js'
import type { PeerMetrics } from './peerMetrics.js'

/** Estimated size of the HTTP headers of a request or response, added to each counted message. */
export const HTTP_HEADER_BYTES = 130

/** Options of a peer client. */
export interface PeerClientOptions {
  readonly self: InstanceIdentity
  readonly environment: string
  readonly codec: CodecName
  readonly transport: PeerTransport
  readonly budget: ByteBudget
  readonly metrics: PeerMetrics
  readonly members: MemberTable
}

/** Parameters of a method without the common message head. */
export type MethodParams<M extends MethodName> = Omit<RequestOf<M>, keyof MessageHead>

/** Sends requests to other daemons and validates that each answer matches its request. */
export class PeerClient {
  private nextId = 1

  private constructor (private readonly options: PeerClientOptions) {}

  /**
   * Creates a client.
   *
   * @param options - Identity, transport, byte budget, metrics and member table.
   * @returns The client.
   */
  static create (options: PeerClientOptions): PeerClient {
    return new PeerClient(options)
  }

  /** Creates the common head of a message; the receiver's start id is empty at first contact with a process. */
  createHead (instanceId: string, startId: string): MessageHead {
    const { self, environment, budget } = this.options
    return { version: WIRE_VERSION, environment, from: [self.instanceId, self.startId], to: [instanceId, startId], room: budget.freeBudgetPercent() }
  }

  /**
   * Sends a request to a member and waits for the answer; a valid answer confirms the link in both directions.
   *
   * @param member - Receiver.
   * @param method - Method to call.
   * @param params - Parameters of the method.
   * @param timeoutMs - Maximum wait for the answer, in milliseconds.
   * @returns The answer, or an error: `rejected` if the peer answered with an error or the request is too long,
   *   otherwise `unreachable`, which includes answers from another process or to another request.
   */
  async exchange<M extends MethodName> (member: MemberRecord, method: M, params: MethodParams<M>, timeoutMs: number): Promise<Result<AnswerOf<M>, PeerError>> {
    const { codec, transport, members, metrics } = this.options
    const startId = member.isReplaced ? '' : member.startId
    const id = this.nextId++
    const request = encodePacket(codec, createJSONRPCRequest(id, method, { ...this.createHead(member.instanceId, startId), ...params }))
    if (request.body.length > MAX_MESSAGE_BYTES) return err({ kind: 'rejected', message: 'the message is too long' })
    this.countBytes('sent', method, request)
    const packet = await transport.send(member, request, timeoutMs)
    if (packet.isErr()) {
      metrics.countExchange('unreachable')
      return err({ kind: 'unreachable', message: packet.error })
    }
    this.countBytes('received', method, packet.value)
    const answer = this.parseAnswer(member, startId, method, id, packet.value)
    metrics.countExchange(answer.isOk() ? 'answered' : answer.error.kind === 'rejected' ? 'rejected' : 'unreachable')
    if (answer.isErr()) return answer
    members.recordMessage(member.instanceId, answer.value.from[1], answer.value.room)
    members.confirmLink(member.instanceId, answer.value.from[1])
    return answer
  }

  private parseAnswer<M extends MethodName> (member: MemberRecord, startId: string, method: M, id: number, packet: Packet): Result<AnswerOf<M>, PeerError> {
    const response = decodePacket(packet).unwrapOr(undefined) ?? {}
    if (!isJSONRPCResponse(response)) return this.refuseAnswer('malformed')
    if (response.error !== undefined) return this.toPeerError(member, response.error)
    const answer = answerSchemas[method].safeParse(response.result)
    if (!answer.success) return this.refuseAnswer('malformed')
    const { from, to, environment } = answer.data
    const { self } = this.options
    if (response.id !== id || to[0] !== self.instanceId || to[1] !== self.startId) return this.refuseAnswer('replayed')
    if (environment !== this.options.environment || from[0] !== member.instanceId) return this.refuseAnswer('foreign')
    if (startId !== '' && from[1] !== startId) return this.refuseAnswer('incarnation')
    return ok(answer.data as AnswerOf<M>)
  }

  private toPeerError (member: MemberRecord, error: { readonly code: number, readonly message: string }): Result<never, PeerError> {
    if (error.code !== REFUSAL_CODES.incarnation) return err({ kind: 'rejected', message: error.message })
    this.options.members.markReplaced(member.instanceId)
    return err({ kind: 'unreachable', message: error.message })
  }

  private refuseAnswer (reason: 'malformed' | 'replayed' | 'foreign' | 'incarnation'): Result<never, PeerError> {
    this.options.metrics.countRefusal(reason)
    return err({ kind: 'unreachable', message: `the answer is ${reason}` })
  }

  private countBytes (direction: 'sent' | 'received', method: MethodName, packet: Packet): void {
    const bytes = packet.body.length + HTTP_HEADER_BYTES
    this.options.budget.spend(bytes)
    this.options.metrics.countBytes(direction, method, bytes)
  }
}
