import type { JsonValue, Settings, StateSource } from '@lovagehoist/common'

const withoutCredentials = (address: string): string => {
  const url = new URL(address)
  url.username = ''
  url.password = ''
  url.search = ''
  return url.href
}

/**
 * Creates a dump section with the settings of a daemon. Credentials and queries are removed from addresses; of files only the paths are included.
 *
 * @param settings - Settings of the daemon.
 * @returns The source of the section.
 */
export const createSettingsSource = (settings: Settings): StateSource => {
  const platform = Object.fromEntries(Object.entries(settings.platform).map(([name, address]) => [name, withoutCredentials(address)]))
  const redacted = JSON.parse(JSON.stringify({ ...settings, platform })) as JsonValue
  return { name: 'settings', dump: () => redacted }
}
