import { Registry } from 'prom-client'

/**
 * Creates a separate metrics registry, so that several daemons can run in one process.
 *
 * @param labels - Labels added to every time series.
 * @returns The registry.
 */
export const createRegistry = (labels: Readonly<Record<string, string>>): Registry => {
  const registry = new Registry()
  registry.setDefaultLabels({ ...labels })
  return registry
}
