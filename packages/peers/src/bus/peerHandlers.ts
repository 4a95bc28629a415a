import type { InstanceIdentity, PeerMethodHandler } from '@lovagehoist/common'
import { EXCHANGE_TIMEOUT_MS } from '../membership/failureDetector.js'
import type { FailureDetector } from '../membership/failureDetector.js'
import type { MemberTable } from '../membership/memberTable.js'
import { compareDigests } from '../spread/antiEntropy.js'
import type { Spreader } from '../spread/spreader.js'
import type { MessageHead, RequestOf, WireEntry } from '../wire/messages.js'
import { SELF_KEY } from '../membership/membershipEntries.js'
import { recentlyConfirmedRefs } from './recentlyConfirmedRefs.js'
import type { PeerClient } from './peerClient.js'
import type { PeerHandlers } from './peerServer.js'

/** Dependencies of the request handlers. */
export interface HandlerDependencies {
  readonly members: MemberTable
  readonly spreader: Spreader
  readonly client: PeerClient
  readonly detector: FailureDetector
  readonly methods: ReadonlyMap<string, PeerMethodHandler>
  readonly applyEntries: (entries: readonly WireEntry[], fromId: string) => void
}

const isFirstContact = ({ to }: MessageHead): boolean => to[1] === ''

const senderOf = ({ members }: HandlerDependencies, { from }: MessageHead): InstanceIdentity => {
  const [instanceId, startId] = from
  const record = members.find(instanceId)
  const { region, availabilityZone } = record ?? { region: '', availabilityZone: '' }
  return { instanceId, startId, region, availabilityZone }
}

const selfEntries = ({ members, spreader }: HandlerDependencies): readonly WireEntry[] =>
  spreader.store.repairedEntriesOf(members.selfRef).filter(entry => entry.key === SELF_KEY).map(entry => spreader.store.toWire(entry))

/** The suspicion of the sender's process, if there is one, so that the sender can refute it. */
const suspicionEntries = ({ members, spreader, detector }: HandlerDependencies, { from }: MessageHead): readonly WireEntry[] => {
  const suspicion = members.suspicionOf(from[0], from[1])
  if (suspicion === undefined) return []
  const stored = detector.publishSuspicion(suspicion)
  return stored === undefined ? [] : [spreader.store.toWire(stored)]
}

const answerHeartbeat = async (dependencies: HandlerDependencies, request: RequestOf<'heartbeat'>) => {
  const { members } = dependencies
  if (!isFirstContact(request)) dependencies.applyEntries(request.entries, request.from[0])
  const entries = [...isFirstContact(request) ? selfEntries(dependencies) : [], ...suspicionEntries(dependencies, request)]
  return { heard: [...recentlyConfirmedRefs(members)], entries, isKnown: members.find(request.from[0])?.startId === request.from[1] }
}

const answerAsk = async ({ members, client }: HandlerDependencies, { about }: RequestOf<'ask'>) => {
  const member = members.find(about)
  if (member === undefined) throw new Error(`${about} is not known`)
  const answer = await client.exchange(member, 'heartbeat', { heard: [], entries: [] }, EXCHANGE_TIMEOUT_MS)
  return { isReached: answer.isOk() }
}

const answerDigest = async ({ members, spreader }: HandlerDependencies, { hashes, room }: RequestOf<'digest'>) => {
  const { entries, wanted } = compareDigests(spreader, members, hashes, room)
  return { entries: [...entries], wanted: [...wanted] }
}

const answerCall = async (dependencies: HandlerDependencies, request: RequestOf<'call'>) => {
  const handler = dependencies.methods.get(request.method)
  if (handler === undefined) throw new Error(`no method ${request.method}`)
  return { value: await handler(request.params, senderOf(dependencies, request)) }
}

/**
 * Creates the handlers for requests of other daemons.
 *
 * @param dependencies - Dependencies of the handlers.
 * @returns Handlers by method.
 */
export const createHandlers = (dependencies: HandlerDependencies): PeerHandlers => ({
  heartbeat: async request => await answerHeartbeat(dependencies, request),
  ask: async request => await answerAsk(dependencies, request),
  digest: async request => await answerDigest(dependencies, request),
  call: async request => await answerCall(dependencies, request)
})
