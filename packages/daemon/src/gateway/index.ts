export * from './gatewayDaemon.js'
export * from './gatewayParts.js'
export * from './liveSettings.js'
