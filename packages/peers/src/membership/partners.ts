import { murmurHash } from '@lovagehoist/common'
import type { InstanceIdentity, Locality } from '@lovagehoist/common'

interface Candidate extends Locality {
  readonly instanceId: string
}

/** Positions after the own one in a ring of n daemons at which partners stand. */
type Offsets = (count: number) => readonly number[]

interface Ring {
  readonly includes: (self: Locality, candidate: Locality) => boolean
  readonly offsets: Offsets
}

/** Two partners in the own zone, two in the region and two anywhere; each daemon is so chosen as often as it chooses. */
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
    .map(({ instanceId }) => ({ instanceId, place: murmurHash(instanceId) }))
    .sort((a, b) => a.place - b.place || (a.instanceId < b.instanceId ? -1 : 1))
    .map(({ instanceId }) => instanceId)
  const own = ids.indexOf(self.instanceId)
  return offsets(ids.length).flatMap(offset => ids[(own + offset) % ids.length] ?? [])
}

/**
 * Chooses the daemons that this one exchanges heartbeats with.
 *
 * @param self - This daemon.
 * @param candidates - Other daemons that are not known to be gone.
 * @returns Their instance ids: at most seven, spread over the own zone, the region and all regions.
 */
export const choosePartners = (self: InstanceIdentity, candidates: readonly Candidate[]): ReadonlySet<string> => {
  const chosen = RINGS.flatMap(ring => partnersInRing(self, candidates.filter(candidate => ring.includes(self, candidate)), ring.offsets))
  return new Set(chosen.filter(instanceId => instanceId !== self.instanceId))
}
