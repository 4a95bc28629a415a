import type { IncomingMessage, ServerResponse } from 'node:http'

/** Answers a request on the admin address. */
export type AdminHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>
