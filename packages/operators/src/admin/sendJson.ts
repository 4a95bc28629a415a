import type { ServerResponse } from 'node:http'
import type { JsonValue } from '@lovagehoist/common'

/**
 * Sends a JSON response.
 *
 * @param response - Response to write.
 * @param status - Status code.
 * @param value - Body.
 */
export const sendJson = (response: ServerResponse, status: number, value: JsonValue): void => {
  response.statusCode = status
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify(value))
}
