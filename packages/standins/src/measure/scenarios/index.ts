import type { Scenario } from '../scenario.js'
import { bodies } from './bodies.js'
import { control } from './control.js'
import { crashing } from './crashing.js'
import { drain } from './drain.js'
import { gateway } from './gateway.js'
import { gray } from './gray.js'
import { isolated } from './isolated.js'
import { limit } from './limit.js'
import { outage } from './outage.js'
import { overhead } from './overhead.js'
import { poison } from './poison.js'
import { promoteScenario } from './promote.js'
import { rest } from './rest.js'
import { rush } from './rush.js'
import { silent } from './silent.js'

/** All scenarios by name. */
export const scenarios: Readonly<Record<string, Scenario>> = {
  [overhead.name]: overhead,
  [gray.name]: gray,
  [rush.name]: rush,
  [isolated.name]: isolated,
  [limit.name]: limit,
  [crashing.name]: crashing,
  [rest.name]: rest,
  [outage.name]: outage,
  [promoteScenario.name]: promoteScenario,
  [drain.name]: drain,
  [poison.name]: poison,
  [silent.name]: silent,
  [control.name]: control,
  [gateway.name]: gateway,
  [bodies.name]: bodies
}
