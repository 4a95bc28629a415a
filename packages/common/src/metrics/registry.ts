import { Registry } from 'prom-client'

/**
 * Creates a metrics registry of its own, so that several daemons can share a process.
 *
 * @param labels - Labels put on every series.
 * @returns The registry.
 */
export const createRegistry = (labels: Readonly<Record<string, string>>): Registry => {
  const registry = new Registry()
  registry.setDefaultLabels({ ...labels })
  return registry
}
