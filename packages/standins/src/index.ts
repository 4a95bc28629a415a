export * from './platform/platformStandin.js'
export * from './target/targetStandin.js'
export * from './target/behaviour.js'
