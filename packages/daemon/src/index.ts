export * from './compose/daemon.js'
export * from './compose/world.js'
