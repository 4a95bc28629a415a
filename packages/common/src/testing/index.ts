export * from './matchSnapshot.js'
export * from '../fakes/index.js'
