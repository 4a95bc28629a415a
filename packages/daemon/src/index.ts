export * from './compose/daemon.js'
export * from './compose/daemonDependencies.js'
