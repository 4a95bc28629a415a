import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Reads the whole body of a message.
 *
 * @param message - Message.
 * @returns Its bytes.
 */
export const readBytes = async (message: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks)
}

/**
 * Reads the JSON body of a message.
 *
 * @param message - Message.
 * @returns The parsed value, not validated.
 * @throws SyntaxError when the body is not JSON.
 */
export const readJson = async <T>(message: IncomingMessage): Promise<T> => JSON.parse((await readBytes(message)).toString('utf8')) as T

/**
 * Sends a JSON response.
 *
 * @param response - Response, whose headers are not sent yet.
 * @param status - Status code.
 * @param value - Value to encode.
 */
export const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
