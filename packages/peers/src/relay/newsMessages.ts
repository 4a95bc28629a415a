import type { NewsRow } from '@lovagehoist/common'

/** Rows of news by the name of their topic. */
export type News = Readonly<Record<string, readonly NewsRow[]>>

/** Rows of one topic that a message may carry; further ones are ignored. */
const MAX_ROWS = 1_024
const MAX_FIELDS = 32
const MAX_FIELD_LENGTH = 256

const isField = (field: unknown): boolean => typeof field === 'string' ? field.length <= MAX_FIELD_LENGTH : typeof field === 'number' && Number.isFinite(field)

const isNewsRow = (row: unknown): row is NewsRow => Array.isArray(row) && row.length <= MAX_FIELDS && typeof row[0] === 'string' && row.every(isField)

/** Encodes the news of a message; empty without any. */
export const encodeNews = (news: News): { readonly news?: News } => {
  const topics = Object.entries(news).filter(([, rows]) => rows.length > 0)
  return topics.length === 0 ? {} : { news: Object.fromEntries(topics) }
}

/**
 * Decodes the news of a message; topics of newer daemons are kept for those who know them, malformed rows are left out.
 *
 * @param value - Parsed JSON; undefined if the message has none.
 * @returns The news.
 */
export const decodeNews = (value: unknown): News => {
  if (typeof value !== 'object' || value === null) return {}
  return Object.fromEntries(Object.entries(value).map(([name, rows]) => [name, Array.isArray(rows) ? rows.slice(0, MAX_ROWS).filter(isNewsRow) : []]))
}
