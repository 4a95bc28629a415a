import type { ServerResponse } from 'node:http'
import type { JsonValue } from '@lovagehoist/common'

/**
 * Answers with JSON.
 *
 * @param response - Answer.
 * @param status - Status code.
 * @param value - Value.
 */
export const sendJson = (response: ServerResponse, status: number, value: JsonValue): void => {
  response.statusCode = status
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify(value))
}
