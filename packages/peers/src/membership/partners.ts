import { murmurHash } from '@lovagehoist/common'
import type { InstanceIdentity, Locality } from '@lovagehoist/common'

interface Candidate extends Locality {
  readonly instanceId: string
}

/** Offsets from this daemon's index, in a ring of `count` daemons, at which its partners are. */
type Offsets = (count: number) => readonly number[]

interface Ring {
  readonly includes: (self: Locality, candidate: Locality) => boolean
  readonly offsets: Offsets
}

/**
 * Two partners in the own zone, two in the region and three anywhere. Fixed offsets in a ring ordered by hash make every
 * daemon the partner of as many others as it has partners itself.
 */
const RINGS: readonly Ring[] = [
  {
    includes: (self, { region, availabilityZone }) => region === self.region && availabilityZone === self.availabilityZone,
    offsets: count => [1, Math.floor(count / 2)]
  },
  { includes: (self, { region }) => region === self.region, offsets: count => [1, Math.floor(count / 3)] },
  { includes: () => true, offsets: count => [1, Math.floor(count / 5), Math.floor(count / 2)] }
]

const partnersInRing = (self: InstanceIdentity, candidates: readonly Candidate[], offsets: Offsets): readonly string[] => {
  const ids = [self, ...candidates]
    .map(({ instanceId }) => ({ instanceId, position: murmurHash(instanceId) }))
    .sort((a, b) => a.position - b.position || (a.instanceId < b.instanceId ? -1 : 1))
    .map(({ instanceId }) => instanceId)
  const ownIndex = ids.indexOf(self.instanceId)
  return offsets(ids.length).flatMap(offset => ids[(ownIndex + offset) % ids.length] ?? [])
}

/**
 * Chooses the gossip partners that this daemon exchanges heartbeats with.
 *
 * @param self - This daemon.
 * @param candidates - Other daemons that are neither gone nor leaving.
 * @returns Instance ids of at most seven partners, spread over the own zone, the region and all regions.
 */
export const choosePartners = (self: InstanceIdentity, candidates: readonly Candidate[]): ReadonlySet<string> => {
  const chosen = RINGS.flatMap(ring => partnersInRing(self, candidates.filter(candidate => ring.includes(self, candidate)), ring.offsets))
  return new Set(chosen.filter(instanceId => instanceId !== self.instanceId))
}
