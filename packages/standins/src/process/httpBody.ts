import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Reads the body of a message.
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
 * @returns The value, unchecked.
 */
export const readJson = async <T>(message: IncomingMessage): Promise<T> => JSON.parse((await readBytes(message)).toString('utf8')) as T

/**
 * Answers with JSON.
 *
 * @param response - Answer.
 * @param status - Status code.
 * @param value - Value.
 */
export const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
