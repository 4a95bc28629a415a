export * from './platform/platformStandin.js'
export * from './platform/tableState.js'
export * from './target/targetStandin.js'
export * from './target/behaviour.js'
