import type { JsonValue } from '@lovagehoist/common'
import { descriptionSchema, selfSchema, suspicionSchema } from '../wire/messages.js'
import type { WireEntry } from '../wire/messages.js'
import type { SelfDescription, ProcessAnnouncement } from './memberRecord.js'
import { processRefOf } from './memberRecord.js'
import type { MemberTable } from './memberTable.js'

/** Key of a daemon's self entry, which announces its identity and address. */
export const SELF_KEY = 'self'
/** Key of the entry with a daemon's description. */
export const DESCRIPTION_KEY = 'state'
/** Key prefix of suspicion entries; the ref of the suspected process follows. */
export const SUSPICION_PREFIX = 'suspect/'

const DIGEST_DIGITS = 12

/** Encodes the value of a self entry. */
export const encodeSelfEntry = (announcement: ProcessAnnouncement): JsonValue =>
  [announcement.instanceId, announcement.startId, announcement.epoch, announcement.region, announcement.availabilityZone, announcement.host, announcement.port]

/** Encodes the value of a description entry; the digest is shortened. */
export const encodeDescription = (description: SelfDescription, isLeaving: boolean): JsonValue =>
  [description.configVersion, description.configDigest.slice(0, DIGEST_DIGITS), Number(description.isReady), Number(isLeaving)]

/** Decodes the value of a self entry; returns undefined if it is malformed or describes a process with another ref. */
export const parseSelfEntry = (ref: number, value: JsonValue): ProcessAnnouncement | undefined => {
  const parsed = selfSchema.safeParse(value)
  if (!parsed.success) return undefined
  const [instanceId, startId, epoch, region, availabilityZone, host, port] = parsed.data
  return processRefOf(instanceId, startId) === ref ? { instanceId, startId, epoch, region, availabilityZone, host, port } : undefined
}

type EntryApplier = (members: MemberTable, wire: WireEntry, onSuspected: (epoch: number) => void) => void

const applyDescription: EntryApplier = (members, [ref, , , , , , value]) => {
  const parsed = descriptionSchema.safeParse(value)
  if (!parsed.success) return
  const [configVersion, configDigest, isReady, isLeaving] = parsed.data
  members.applyDescription(ref, { configVersion, configDigest, isReady: isReady === 1 }, isLeaving === 1)
}

const applySuspicion: EntryApplier = (members, [, , , , ageMs, , value], onSuspected) => {
  const parsed = suspicionSchema.safeParse(value)
  if (!parsed.success) return
  const [ref, epoch] = parsed.data
  if (ref === members.selfRef) onSuspected(epoch)
  else members.suspect(ref, epoch, ageMs)
}

/**
 * Applies a description or suspicion entry; other entries of topic `membership` are ignored.
 *
 * @param members - Member table to update.
 * @param wire - Received entry.
 * @param onSuspected - Called with the epoch if this process is suspected.
 */
export const applyMembershipEntry = (members: MemberTable, wire: WireEntry, onSuspected: (epoch: number) => void): void => {
  const key = wire[2]
  if (key === DESCRIPTION_KEY) applyDescription(members, wire, onSuspected)
  else if (key.startsWith(SUSPICION_PREFIX)) applySuspicion(members, wire, onSuspected)
}
