export * from './solo/soloPeerBus.js'
