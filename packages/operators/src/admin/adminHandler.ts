import type { IncomingMessage, ServerResponse } from 'node:http'

/** Handles a request received on the admin address. */
export type AdminHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>
