import type { JsonValue, Settings, StateSource } from '@lovagehoist/common'

const withoutCredentials = (address: string): string => {
  const url = new URL(address)
  url.username = ''
  url.password = ''
  url.search = ''
  return url.href
}

/**
 * Shows the settings of a daemon without secrets: addresses lose credentials and query, files are named and not read.
 *
 * @param settings - Settings.
 * @returns Section of the dump.
 */
export const createSettingsSource = (settings: Settings): StateSource => {
  const platform = Object.fromEntries(Object.entries(settings.platform).map(([name, address]) => [name, withoutCredentials(address)]))
  const shown = JSON.parse(JSON.stringify({ ...settings, platform })) as JsonValue
  return { name: 'settings', dump: () => shown }
}
