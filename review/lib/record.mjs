import { appendFileSync, writeFileSync } from 'node:fs'
import { performance } from 'node:perf_hooks'

/** Writes what was sent, answered and run, one line of JSON each. */
export class Record {
  constructor (path) {
    this.path = path
    this.startedAtMs = performance.now()
    writeFileSync(path, '')
  }

  get nowMs () {
    return performance.now() - this.startedAtMs
  }

  add (event, fields = {}) {
    appendFileSync(this.path, `${JSON.stringify({ atMs: Math.round(this.nowMs), event, ...fields })}\n`)
  }
}

export const sleepMs = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

/** Polls a condition; returns whether it held in time. */
export const waitUntil = async (isMet, limitMs) => {
  for (let waitedMs = 0; waitedMs < limitMs; waitedMs += 20) {
    if (await isMet()) return true
    await sleepMs(20)
  }
  return false
}
