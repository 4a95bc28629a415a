import type { UnevenLoad } from './unevenFleet.js'

const zonesOf = (daemons: number, targets: number, zones: number): UnevenLoad['zones'] =>
  Array.from({ length: zones }, (_, zone) => ({ daemons: Math.ceil((daemons - zone) / zones), targets: Math.ceil((targets - zone) / zones) }))

const TRANSLATIONS = {
  seed: 1,
  seconds: 42,
  slots: 4,
  objectiveMs: 1_208,
  timeoutMs: 6_021,
  meanWorkMs: 361,
  crossZoneMs: 0.5,
  demandSwing: 0,
  swingPeriodMs: 12_000,
  tailShare: 0.03,
  tailFactor: 7,
  idempotentShare: 0.7,
  slowdownOf: () => 1
} as const

const HEATING_OIL = { ...TRANSLATIONS, slots: 2, objectiveMs: 1_037, timeoutMs: 3_094, meanWorkMs: 212, crossZoneMs: 5.4, tailShare: 0.01, tailFactor: 4 } as const

/** Services of the deployments to serve, by the number of daemons. */
export const UNEVEN_SERVICES = {
  /** Heating oil, its first service; the fleet of 36 has two fifths of the targets and demand. */
  36: { ...HEATING_OIL, zones: zonesOf(36, 19, 3), requestsPerSecond: 58 },
  93: { ...HEATING_OIL, zones: zonesOf(93, 48, 3), requestsPerSecond: 148 },
  /** Translations, its first service. */
  165: { ...TRANSLATIONS, zones: zonesOf(165, 33, 4), requestsPerSecond: 88 }
} as const satisfies Readonly<Record<number, UnevenLoad>>

/** Translations, its service of few targets. */
export const FEW_TARGETS: UnevenLoad = { ...TRANSLATIONS, zones: zonesOf(165, 6, 4), requestsPerSecond: 23, meanWorkMs: 236, objectiveMs: 1_063, timeoutMs: 6_023 }

/** Time span in which targets are slow. */
export const SLOW_FROM_MS = 14_000
export const SLOW_TO_MS = 23_000

/** Whether two fifths of the targets are slow at a time. */
const isSlow = (targetId: string, atMs: number): boolean => Number(targetId.split('-')[1]) % 5 < 2 && atMs >= SLOW_FROM_MS && atMs < SLOW_TO_MS

/** Unevenness that a load is put under. */
export const UNEVENNESS: Readonly<Record<'even' | 'swing' | 'swingAtPeak' | 'slow' | 'slowBy5' | 'unequal' | 'routes', (load: UnevenLoad) => UnevenLoad>> = {
  even: load => load,
  swing: load => ({ ...load, demandSwing: 0.55 }),
  swingAtPeak: load => ({ ...load, demandSwing: 0.55, requestsPerSecond: load.requestsPerSecond * 2.2 }),
  slow: load => ({ ...load, slowdownOf: (id, atMs) => isSlow(id, atMs) ? 12 : 1 }),
  slowBy5: load => ({ ...load, slowdownOf: (id, atMs) => isSlow(id, atMs) ? 5 : 1 }),
  unequal: load => ({ ...load, requestsPerSecond: load.requestsPerSecond * 1.6, slowdownOf: id => 0.6 + 0.4 * (Number(id.split('-')[1]) % 4) }),
  routes: load => ({ ...load, requestsPerSecond: load.requestsPerSecond * 1.6, routes: [{ name: 'short', share: 0.8, workFactor: 0.5 }, { name: 'long', share: 0.2, workFactor: 3 }] })
}
