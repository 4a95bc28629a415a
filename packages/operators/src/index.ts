export * from './environment/environmentRow.js'
export * from './follow/configFollower.js'
export * from './admin/adminServer.js'
export * from './promotion/promote.js'
