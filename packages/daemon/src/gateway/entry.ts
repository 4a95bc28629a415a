import { EarlySignals } from './earlySignals.js'

const EXIT_FAILURE = 1

// Signals are caught before the rest is loaded, which takes longer than anything else at the start.
const signals = EarlySignals.create(process)

import('./main.js').then(async ({ main }) => { await main(signals) }).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
  process.exit(EXIT_FAILURE)
})
