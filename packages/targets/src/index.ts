export * from './directory/targetDirectory.js'
export * from './connections/targetSender.js'
export * from './pick/leastLoadedPicker.js'
export * from './health/consecutiveFailureHealth.js'
