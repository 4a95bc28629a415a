import type { Target } from '../contracts/targets.js'

/**
 * Creates a target for tests.
 *
 * @param id - Id of the target.
 * @param overrides - Fields that differ from the default: a live target of service `burnbook` in zone `a` with six slots.
 * @returns The target.
 */
export const fakeTarget = (id: string, overrides: Partial<Target> = {}): Target => ({
  id,
  service: 'burnbook',
  host: '127.0.0.1',
  port: 1,
  slots: 6,
  startedAtMs: 0,
  region: 'local',
  availabilityZone: 'a',
  isLeaving: false,
  ...overrides
})
