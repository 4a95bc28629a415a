import { documentSchema, parseJsonc } from '@lovagehoist/common'
import type { Clock, EnvironmentDocument } from '@lovagehoist/common'

/** Records checked in one turn of the event loop. */
const SLICE = 250

type Fields = Readonly<Record<string, unknown>>

const { shape } = documentSchema.unwrap()

/** A document without comments is read by the faster parser. */
const parseText = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return parseJsonc(text)
  }
}

const checkRoutes = async (clock: Clock, routes: readonly unknown[]): Promise<EnvironmentDocument['routes']> => {
  const checked: Array<EnvironmentDocument['routes'][number]> = []
  for (let start = 0; start < routes.length; start += SLICE) {
    checked.push(...shape.routes.parse(routes.slice(start, start + SLICE)))
    await clock.sleepMs(0)
  }
  return checked
}

const checkAccounts = async (clock: Clock, accounts: Fields): Promise<EnvironmentDocument['accounts']> => {
  const entries = Object.entries((accounts.entries ?? {}) as Fields)
  const checked: Array<[string, EnvironmentDocument['accounts']['default']]> = []
  for (let start = 0; start < entries.length; start += SLICE) {
    const slice = Object.fromEntries(entries.slice(start, start + SLICE))
    checked.push(...Object.entries(shape.accounts.parse({ entries: slice }).entries))
    await clock.sleepMs(0)
  }
  return { ...shape.accounts.parse({ ...accounts, entries: {} }), entries: Object.fromEntries(checked) }
}

/**
 * Reads a document that was accepted, in slices so that requests go on meanwhile.
 *
 * The rules between fields were checked when it was stored; here only shapes are.
 *
 * @param clock - Yields between the slices.
 * @param text - JSON with comments.
 * @returns The document with defaults filled in; undefined when this version of the daemon can't read it.
 */
export const parseDocument = async (clock: Clock, text: string): Promise<EnvironmentDocument | undefined> => {
  try {
    await clock.sleepMs(0)
    const { routes, accounts, ...rest } = parseText(text) as Fields
    await clock.sleepMs(0)
    const document = documentSchema.parse({ ...rest, routes: [] })
    return { ...document, accounts: await checkAccounts(clock, (accounts ?? {}) as Fields), routes: await checkRoutes(clock, routes as readonly unknown[]) }
  } catch {
    return undefined
  }
}
