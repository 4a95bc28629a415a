import type { Target } from '../contracts/targets.js'

/**
 * Makes a target for tests.
 *
 * @param id - Id of the target.
 * @param overrides - Fields that differ from a live target with six slots of service `burnbook` in zone `a`.
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
