export * from './manualClock.js'
export * from './matchSnapshot.js'
