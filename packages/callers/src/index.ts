export * from './entry/callerServer.js'
export * from './routing/routeTable.js'
export * from './admission/admission.js'
export * from './exchange/serveRequest.js'
