export * from './gatewayDaemon.js'
export * from './gatewayParts.js'
