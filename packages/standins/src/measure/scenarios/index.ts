import type { Scenario } from '../scenario.js'
import { control } from './control.js'
import { drain } from './drain.js'
import { gray } from './gray.js'
import { poison } from './poison.js'
import { silent } from './silent.js'
import { outage } from './outage.js'
import { overhead } from './overhead.js'
import { promoteScenario } from './promote.js'
import { rush } from './rush.js'

/** Every measurement, by name. */
export const scenarios: Readonly<Record<string, Scenario>> = {
  [overhead.name]: overhead,
  [rush.name]: rush,
  [drain.name]: drain,
  [gray.name]: gray,
  [poison.name]: poison,
  [silent.name]: silent,
  [outage.name]: outage,
  [promoteScenario.name]: promoteScenario,
  [control.name]: control
}
