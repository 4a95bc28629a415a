import type { Scenario } from '../scenario.js'
import { control } from './control.js'
import { drain } from './drain.js'
import { gray } from './gray.js'
import { outage } from './outage.js'
import { overhead } from './overhead.js'
import { promoteScenario } from './promote.js'
import { rush } from './rush.js'

/** Every measurement, by name. */
export const scenarios: Readonly<Record<string, Scenario>> = {
  [overhead.name]: overhead,
  [rush.name]: rush,
  [drain.name]: drain,
  [promoteScenario.name]: promoteScenario,
  [gray.name]: gray,
  [outage.name]: outage,
  [control.name]: control
}
