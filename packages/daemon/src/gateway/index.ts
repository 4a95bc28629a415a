export * from './gatewayDaemon.js'
export * from './gatewayComponents.js'
export * from './liveSettings.js'
export * from './processProbe.js'
