import type { InstanceIdentity, Member } from '@lovagehoist/common'
import { z } from 'zod'
import type { ConfigFollower } from '../follow/configFollower.js'

const instanceViewSchema = z.strictObject({
  instanceId: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** `self` marks the daemon that made the view. */
  status: z.enum(['self', 'reachable', 'suspect', 'leaving', 'gone']),
  /** Version held; 0 for none or unknown. */
  version: z.int().min(0),
  digest: z.string(),
  isReady: z.boolean(),
  /** Age of the newest word from it, in milliseconds. */
  ageMs: z.number()
}).readonly()

/** Schema of what one daemon knows of the configuration of all instances. */
export const fleetViewSchema = z.strictObject({
  environment: z.string(),
  /** Daemon that made the view. */
  instanceId: z.string(),
  /** Whether that daemon has no peers, and so sees only itself and never stops serving by itself. */
  isAlone: z.boolean(),
  knownVersion: z.int().min(0),
  instances: z.array(instanceViewSchema).readonly()
}).readonly()

/** What one daemon knows of the configuration of one instance. */
export type InstanceView = z.infer<typeof instanceViewSchema>
/** What one daemon knows of the configuration of all instances. */
export type FleetView = z.infer<typeof fleetViewSchema>

/** What a view is made from. */
export interface FleetViewOptions {
  readonly environment: string
  readonly config: ConfigFollower
  readonly self: InstanceIdentity
  readonly members: readonly Member[]
}

const viewMember = (member: Member): InstanceView => ({
  instanceId: member.instanceId,
  region: member.region,
  availabilityZone: member.availabilityZone,
  status: member.status,
  version: member.configVersion,
  digest: member.configDigest,
  isReady: member.isReady,
  ageMs: Math.round(member.ageMs)
})

/**
 * Shows which configuration each known instance holds, as this daemon knows it.
 *
 * @param options - Environment, configuration held here, this instance and the others.
 * @returns The view, in order of instance id.
 */
export const viewFleet = ({ environment, config, self: identity, members }: FleetViewOptions): FleetView => {
  const held = config.current()
  const { instanceId, region, availabilityZone } = identity
  const self: InstanceView = {
    instanceId, region, availabilityZone, status: 'self', version: held?.version ?? 0, digest: held?.digest ?? '', isReady: config.isServing(), ageMs: 0
  }
  const instances = [self, ...members.map(viewMember)].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1)
  return { environment, instanceId, isAlone: config.isAlone, knownVersion: config.knownVersion, instances }
}
