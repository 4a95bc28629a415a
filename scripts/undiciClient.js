// The parts of undici that the gateway uses. The package's main module also loads proxies, caches, mocks and web sockets, which cost a quarter of a start.
import api from 'undici/lib/api/index.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'

Object.assign(Dispatcher.prototype, api)

export { default as Client } from 'undici/lib/dispatcher/client.js'
export { default as Pool } from 'undici/lib/dispatcher/pool.js'
export { default as Agent } from 'undici/lib/dispatcher/agent.js'

/** Imported by modules of the standalone program that are bundled but never run. */
export const request = () => { throw new Error('the gateway sends requests through clients of its own') }
