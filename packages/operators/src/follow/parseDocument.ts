import { documentSchema, parseJsonc } from '@lovagehoist/common'
import type { Clock, EnvironmentDocument } from '@lovagehoist/common'

/** Records validated in one turn of the event loop. */
const RECORDS_PER_SLICE = 250

type JsonObject = Readonly<Record<string, unknown>>

const { shape } = documentSchema.unwrap()

/** Parses with `JSON.parse`, which is faster, and falls back to the JSONC parser for text with comments. */
const parseText = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return parseJsonc(text)
  }
}

const checkRoutes = async (clock: Clock, routes: readonly unknown[]): Promise<EnvironmentDocument['routes']> => {
  const checked: Array<EnvironmentDocument['routes'][number]> = []
  for (let start = 0; start < routes.length; start += RECORDS_PER_SLICE) {
    checked.push(...shape.routes.parse(routes.slice(start, start + RECORDS_PER_SLICE)))
    await clock.sleepMs(0)
  }
  return checked
}

const checkAccounts = async (clock: Clock, accounts: JsonObject): Promise<EnvironmentDocument['accounts']> => {
  const entries = Object.entries((accounts.entries ?? {}) as JsonObject)
  const checked: Array<[string, EnvironmentDocument['accounts']['default']]> = []
  for (let start = 0; start < entries.length; start += RECORDS_PER_SLICE) {
    const slice = Object.fromEntries(entries.slice(start, start + RECORDS_PER_SLICE))
    checked.push(...Object.entries(shape.accounts.parse({ entries: slice }).entries))
    await clock.sleepMs(0)
  }
  return { ...shape.accounts.parse({ ...accounts, entries: {} }), entries: Object.fromEntries(checked) }
}

/**
 * Parses an accepted document in slices, so that the event loop keeps serving requests meanwhile.
 *
 * Only shapes are validated here: rules across fields were checked when the document was stored.
 *
 * @param clock - Used to yield between slices.
 * @param text - JSON with comments.
 * @returns The document with defaults filled in; undefined when this version of the daemon can't parse it.
 */
export const parseDocument = async (clock: Clock, text: string): Promise<EnvironmentDocument | undefined> => {
  try {
    await clock.sleepMs(0)
    const { routes, accounts, ...rest } = parseText(text) as JsonObject
    await clock.sleepMs(0)
    const document = documentSchema.parse({ ...rest, routes: [] })
    return { ...document, accounts: await checkAccounts(clock, (accounts ?? {}) as JsonObject), routes: await checkRoutes(clock, routes as readonly unknown[]) }
  } catch {
    return undefined
  }
}
