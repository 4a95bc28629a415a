import type { InstanceIdentity, PeerMethodHandler } from '@lovagehoist/common'
import { EXCHANGE_TIMEOUT_MS } from '../membership/failureDetector.js'
import type { FailureDetector } from '../membership/failureDetector.js'
import type { MemberTable } from '../membership/memberTable.js'
import { compareDigests } from '../spread/antiEntropy.js'
import type { Spreader } from '../spread/spreader.js'
import type { MessageHead, RequestOf, WireEntry } from '../wire/messages.js'
import { SELF_KEY } from '../membership/membershipEntries.js'
import { heardLately } from './heardLately.js'
import type { PeerClient } from './peerClient.js'
import type { PeerHandlers } from './peerServer.js'

/** What the handlers work with. */
export interface HandlerParts {
  readonly members: MemberTable
  readonly spreader: Spreader
  readonly client: PeerClient
  readonly detector: FailureDetector
  readonly methods: ReadonlyMap<string, PeerMethodHandler>
  readonly take: (entries: readonly WireEntry[], fromId: string) => void
}

const isFirstContact = ({ to }: MessageHead): boolean => to[1] === ''

const senderOf = ({ members }: HandlerParts, { from }: MessageHead): InstanceIdentity => {
  const [instanceId, startId] = from
  const record = members.find(instanceId)
  const { region, availabilityZone } = record ?? { region: '', availabilityZone: '' }
  return { instanceId, startId, region, availabilityZone }
}

const ownEntries = ({ members, spreader }: HandlerParts): readonly WireEntry[] =>
  spreader.store.repairedOf(members.selfRef).filter(entry => entry.key === SELF_KEY).map(entry => spreader.store.toWire(entry))

/** What the sender should hear about itself: that it is suspected, so that it can contradict. */
const suspicionOf = ({ members, spreader, detector }: HandlerParts, { from }: MessageHead): readonly WireEntry[] => {
  const doubt = members.doubtOf(from[0], from[1])
  if (doubt === undefined) return []
  const held = detector.spreadSuspicion(doubt)
  return held === undefined ? [] : [spreader.store.toWire(held)]
}

const answerHeartbeat = async (parts: HandlerParts, request: RequestOf<'heartbeat'>) => {
  const { members } = parts
  if (!isFirstContact(request)) parts.take(request.entries, request.from[0])
  const entries = [...isFirstContact(request) ? ownEntries(parts) : [], ...suspicionOf(parts, request)]
  return { heard: [...heardLately(members)], entries, isKnown: members.find(request.from[0])?.startId === request.from[1] }
}

const answerAsk = async ({ members, client }: HandlerParts, { about }: RequestOf<'ask'>) => {
  const member = members.find(about)
  if (member === undefined) throw new Error(`${about} is not known`)
  const answer = await client.exchange(member, 'heartbeat', { heard: [], entries: [] }, EXCHANGE_TIMEOUT_MS)
  return { isReached: answer.isOk() }
}

const answerDigest = async ({ members, spreader }: HandlerParts, { hashes, room }: RequestOf<'digest'>) => {
  const { entries, wanted } = compareDigests(spreader, members, hashes, room)
  return { entries: [...entries], wanted: [...wanted] }
}

const answerCall = async (parts: HandlerParts, request: RequestOf<'call'>) => {
  const handler = parts.methods.get(request.method)
  if (handler === undefined) throw new Error(`no method ${request.method}`)
  return { value: await handler(request.params, senderOf(parts, request)) }
}

/**
 * Makes the handlers of the methods between daemons.
 *
 * @param parts - What they work with.
 * @returns The handlers by method.
 */
export const createHandlers = (parts: HandlerParts): PeerHandlers => ({
  heartbeat: async request => await answerHeartbeat(parts, request),
  ask: async request => await answerAsk(parts, request),
  digest: async request => await answerDigest(parts, request),
  call: async request => await answerCall(parts, request)
})
