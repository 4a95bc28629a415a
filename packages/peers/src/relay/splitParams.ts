/** Part of a full report or of full zone totals that were cut into several messages. */
export interface FullPart {
  /** Number of the whole, distinct for each whole that a daemon sends. */
  readonly wholeId: number
  /** Index of the part, from 0. */
  readonly index: number
  readonly count: number
}

type JsonObject = Readonly<Record<string, unknown>>

/** Lists of a message whose elements may travel in any of its parts, by their path. */
const SPLIT_LISTS: ReadonlyArray<readonly [name: string, inner?: 'any' | 'rows' | 'settled' | 'permits']> = [
  ['rows'], ['members'], ['news', 'any'], ['limits', 'rows'], ['limits', 'settled'], ['limits', 'permits']
]
/** Bytes that an element takes beside its own text: a comma, and the name of its list if it is the first. */
const ELEMENT_OVERHEAD_BYTES = 16

interface Element {
  readonly name: string
  readonly inner: string | undefined
  readonly value: unknown
  readonly bytes: number
}

const isObject = (value: unknown): value is JsonObject => typeof value === 'object' && value !== null && !Array.isArray(value)

const elementsOf = (params: JsonObject): readonly Element[] => SPLIT_LISTS.flatMap(([name, inner]) => {
  const value = params[name]
  const lists = inner === undefined ? [[undefined, value] as const] : Object.entries(isObject(value) ? value : {}).filter(([key]) => inner === 'any' || key === inner)
  return lists.flatMap(([key, list]) => (Array.isArray(list) ? list as readonly unknown[] : []).map(element =>
    ({ name, inner: key, value: element, bytes: Buffer.byteLength(JSON.stringify(element)) + ELEMENT_OVERHEAD_BYTES })))
})

/** What every part carries: all that is not split, with empty lists. */
const commonParams = (params: JsonObject): JsonObject => {
  const common: Record<string, unknown> = { ...params }
  for (const [name, inner] of SPLIT_LISTS) {
    const value = common[name]
    if (inner === undefined) {
      if (Array.isArray(value)) common[name] = []
    } else if (isObject(value)) {
      common[name] = inner === 'any' ? {} : Object.fromEntries(Object.entries(value).filter(([key]) => key !== inner))
    }
  }
  return common
}

const addElement = (part: Record<string, unknown>, { name, inner, value }: Element): void => {
  if (inner === undefined) {
    part[name] = [...part[name] as readonly unknown[], value]
    return
  }
  const group = part[name] as Readonly<Record<string, readonly unknown[] | undefined>>
  part[name] = { ...group, [inner]: [...group[inner] ?? [], value] }
}

/**
 * Cuts the parameters of a message into parts, so that each fits into one packet and can be applied without the others.
 *
 * @param params - Parameters of the message.
 * @param maxBytes - Length that the text of a part should not exceed; a part holds at least one element.
 * @returns The parts; the parameters themselves if they fit.
 */
export const splitParams = (params: JsonObject, maxBytes: number): readonly JsonObject[] => {
  if (Buffer.byteLength(JSON.stringify(params)) <= maxBytes) return [params]
  const common = commonParams(params)
  const commonBytes = Buffer.byteLength(JSON.stringify(common))
  const parts: Array<Record<string, unknown>> = []
  let roomBytes = 0
  for (const element of elementsOf(params)) {
    let part = parts.at(-1)
    if (part === undefined || element.bytes > roomBytes) {
      part = { ...common }
      parts.push(part)
      roomBytes = maxBytes - commonBytes
    }
    addElement(part, element)
    roomBytes -= element.bytes
  }
  return parts.length === 0 ? [params] : parts
}
