import type { Scenario } from '../scenario.js'
import { overhead } from './overhead.js'

/** Every measurement, by name. */
export const scenarios: Readonly<Record<string, Scenario>> = {
  [overhead.name]: overhead
}
