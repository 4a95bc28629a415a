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

/** Length of the HTTP head of a request or answer. */
export const HTTP_HEAD_BYTES = 130

/** What the client needs. */
export interface PeerClientOptions {
  readonly self: InstanceIdentity
  readonly environment: string
  readonly codec: CodecName
  readonly transport: PeerTransport
  readonly budget: ByteBudget
  readonly metrics: PeerMetrics
  readonly members: MemberTable
}

/** Parameters of a method without the fields that every message has. */
export type Content<M extends MethodName> = Omit<RequestOf<M>, keyof MessageHead>

/** Sends requests to other daemons and checks that the answers belong to them. */
export class PeerClient {
  private nextId = 1

  private constructor (private readonly options: PeerClientOptions) {}

  /**
   * Creates a client.
   *
   * @param options - This process, transport, budget, counters and members.
   * @returns The client.
   */
  static create (options: PeerClientOptions): PeerClient {
    return new PeerClient(options)
  }

  /** Makes the fields that every message has; the start id is empty at first contact with a process. */
  head (instanceId: string, startId: string): MessageHead {
    const { self, environment, budget } = this.options
    return { version: WIRE_VERSION, environment, from: [self.instanceId, self.startId], to: [instanceId, startId], room: budget.roomPercent() }
  }

  /**
   * Exchanges a request and its answer with a member.
   *
   * @param member - Receiver.
   * @param method - Method.
   * @param content - Its parameters.
   * @param timeoutMs - Longest wait, in milliseconds.
   * @returns The answer, or why there is none; an answer for an earlier request or process counts as none.
   */
  async exchange<M extends MethodName> (member: MemberRecord, method: M, content: Content<M>, timeoutMs: number): Promise<Result<AnswerOf<M>, PeerError>> {
    const { codec, transport, members, metrics } = this.options
    const startId = member.isReplaced ? '' : member.startId
    const id = this.nextId++
    const request = encodePacket(codec, createJSONRPCRequest(id, method, { ...this.head(member.instanceId, startId), ...content }))
    if (request.body.length > MAX_MESSAGE_BYTES) return err({ kind: 'rejected', message: 'the message is too long' })
    this.count('sent', method, request)
    const packet = await transport.send(member, request, timeoutMs)
    if (packet.isErr()) {
      metrics.exchanged('unreachable')
      return err({ kind: 'unreachable', message: packet.error })
    }
    this.count('received', method, packet.value)
    const answer = this.read(member, startId, method, id, packet.value)
    metrics.exchanged(answer.isOk() ? 'answered' : answer.error.kind === 'rejected' ? 'rejected' : 'unreachable')
    if (answer.isErr()) return answer
    members.heard(member.instanceId, answer.value.from[1], answer.value.room)
    members.confirm(member.instanceId, answer.value.from[1])
    return answer
  }

  private read<M extends MethodName> (member: MemberRecord, startId: string, method: M, id: number, packet: Packet): Result<AnswerOf<M>, PeerError> {
    const response = decodePacket(packet).unwrapOr(undefined) ?? {}
    if (!isJSONRPCResponse(response)) return this.refuse('malformed')
    if (response.error !== undefined) return this.explain(member, response.error)
    const answer = answerSchemas[method].safeParse(response.result)
    if (!answer.success) return this.refuse('malformed')
    const { from, to, environment } = answer.data
    const { self } = this.options
    if (response.id !== id || to[0] !== self.instanceId || to[1] !== self.startId) return this.refuse('replayed')
    if (environment !== this.options.environment || from[0] !== member.instanceId) return this.refuse('foreign')
    if (startId !== '' && from[1] !== startId) return this.refuse('incarnation')
    return ok(answer.data as AnswerOf<M>)
  }

  private explain (member: MemberRecord, error: { readonly code: number, readonly message: string }): Result<never, PeerError> {
    if (error.code !== REFUSAL_CODES.incarnation) return err({ kind: 'rejected', message: error.message })
    this.options.members.markReplaced(member.instanceId)
    return err({ kind: 'unreachable', message: error.message })
  }

  private refuse (reason: 'malformed' | 'replayed' | 'foreign' | 'incarnation'): Result<never, PeerError> {
    this.options.metrics.refuse(reason)
    return err({ kind: 'unreachable', message: `the answer is ${reason}` })
  }

  private count (direction: 'sent' | 'received', method: MethodName, packet: Packet): void {
    const bytes = packet.body.length + HTTP_HEAD_BYTES
    this.options.budget.spend(bytes)
    this.options.metrics.moved(direction, method, bytes)
  }
}
