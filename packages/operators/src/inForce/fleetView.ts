import type { InstanceIdentity, Member } from '@lovagehoist/common'
import { z } from 'zod'
import type { ConfigFollower } from '../follow/configFollower.js'

const instanceViewSchema = z.object({
  instanceId: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** `self` marks the daemon that created the view. */
  status: z.enum(['self', 'reachable', 'suspect', 'leaving', 'gone']),
  /** Held version; 0 for none or unknown. */
  version: z.int().min(0),
  digest: z.string(),
  isReady: z.boolean(),
  /** Time since the latest information from the instance, in milliseconds. */
  ageMs: z.number()
}).readonly()

/** Schema of one daemon's view of the configuration on all instances. */
export const fleetViewSchema = z.object({
  environment: z.string(),
  /** Instance of the daemon that created the view. */
  instanceId: z.string(),
  /** Whether that daemon runs without peers, and so sees only itself and never fences itself. */
  isAlone: z.boolean(),
  /** Newest accepted version known to that daemon. */
  knownVersion: z.int().min(0),
  instances: z.array(instanceViewSchema).readonly()
}).readonly()

/** One daemon's view of the configuration on one instance. */
export type InstanceView = z.infer<typeof instanceViewSchema>
/** One daemon's view of the configuration on all instances. */
export type FleetView = z.infer<typeof fleetViewSchema>

/** State from which a view is created. */
export interface FleetViewOptions {
  readonly environment: string
  readonly config: ConfigFollower
  readonly self: InstanceIdentity
  readonly members: readonly Member[]
}

const instanceViewOf = (member: Member): InstanceView => ({
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
 * Creates this daemon's view of the configuration that each known instance holds.
 *
 * @param options - Environment, configuration held here, this instance and the others.
 * @returns The view, ordered by instance id.
 */
export const viewFleet = ({ environment, config, self: identity, members }: FleetViewOptions): FleetView => {
  const held = config.current()
  const { instanceId, region, availabilityZone } = identity
  const self: InstanceView = {
    instanceId, region, availabilityZone, status: 'self', version: held?.version ?? 0, digest: held?.digest ?? '', isReady: config.isServing(), ageMs: 0
  }
  const instances = [self, ...members.map(instanceViewOf)].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1)
  return { environment, instanceId, isAlone: config.isAlone, knownVersion: config.knownVersion, instances }
}
