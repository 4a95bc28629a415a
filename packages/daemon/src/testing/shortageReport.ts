/**
 * Prints what callers got in simulated shortages, by way of admission:
 * `node packages/daemon/dist/testing/shortageReport.js SIZE [LOAD;LOAD...] [SEED,SEED...] [WAY;WAY...] [unreserved]`
 */
import { ALTERNATIVES } from './shortageAlternatives.js'
import { CLASSES, FAULT_FROM_MS, LOADS, SERVICES } from './shortageLoads.js'
import { ShortageSimulation, firstComeFirstServed } from './shortageSimulation.js'
import type { ClassResult, CreatePolicy } from './shortageSimulation.js'

const WAYS: Readonly<Record<string, CreatePolicy>> = { 'first come first served': firstComeFirstServed, ...ALTERNATIVES }
const [, , size = '93', loads = '', seeds = '1', ways = Object.keys(WAYS).join(';'), reservation = 'reserved'] = process.argv

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

const sharesOf = (runs: readonly ShortageSimulation[], field: 'inTime' | 'served'): string =>
  CLASSES.map((_, index) => meanOf(runs.map(({ results }) => (results[index]?.[field] ?? 0) / (results[index]?.requests ?? 1))).toFixed(2)).join('/')

/** Value as if all classes were worth the same. */
const unweightedShare = ({ results }: ShortageSimulation): number => {
  const valueOf = ({ value }: ClassResult, index: number): number => value / (CLASSES[index]?.value ?? 1)
  return results.reduce((sum, result, index) => sum + valueOf(result, index), 0) / results.reduce((sum, { requests }) => sum + requests, 0)
}

/** Times from the start and the end of the fault to the first and the last refusal, in milliseconds. */
const reactionMs = ({ policyRefusedAtMs }: ShortageSimulation, faultMs: number): string => {
  const at = (share: number): number => policyRefusedAtMs[Math.floor(share * (policyRefusedAtMs.length - 1))] ?? NaN
  return `${Math.round(at(0) - FAULT_FROM_MS)}..${Math.round(at(1) - FAULT_FROM_MS - faultMs)}`
}

const service = SERVICES[size as keyof typeof SERVICES]
for (const [name, load] of Object.entries(LOADS).filter(([name]) => loads.split(';').some(part => name.includes(part)))) {
  process.stdout.write(`${size} daemons, ${name}\n`)
  for (const way of ways.split(';')) {
    const policy = WAYS[way] ?? firstComeFirstServed
    const runs = seeds.split(',').map(seed => ShortageSimulation.run({ seed: Number(seed), service, load, policy, hasReservedSlots: reservation === 'reserved' }))
    const [worth, unweighted] = [meanOf(runs.map(({ worthShare }) => worthShare)), meanOf(runs.map(unweightedShare))]
    process.stdout.write(`  ${way.padEnd(34)} value ${worth.toFixed(3)}, unweighted ${unweighted.toFixed(3)}, in time ${sharesOf(runs, 'inTime')}, served ${sharesOf(runs, 'served')}, refusals ${meanOf(runs.map(({ policyRefusals }) => policyRefusals)).toFixed(0)}, first after start and last after end ${runs.map(run => reactionMs(run, load.faultMs)).join(' ')} ms\n`)
  }
}
