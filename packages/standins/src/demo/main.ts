import { Caller } from '../load/caller.js'
import { measuredDocument } from '../measure/documents.js'
import { Fleet } from '../measure/fleet.js'
import { countGuaranteeBreaches } from '../measure/oracle.js'

const SERVICES = { burnbook: 4, sackpay: 4 } as const
const DAEMONS = 3
const REQUESTS = 60
const SLOTS = 6

const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }

const startFleet = async (): Promise<Fleet> => {
  const fleet = await Fleet.create(1)
  printLine(`platform stand-in: ${fleet.platformUrl}`)
  for (const [service, count] of Object.entries(SERVICES)) {
    for (let index = 0; index < count; index++) await fleet.addTarget(service, { slots: SLOTS })
  }
  printLine(`target stand-ins: ${fleet.targets.map(target => target.entry.id).join(', ')}`)
  const services = Object.fromEntries(Object.entries(SERVICES).map(([name, count]) => [name, { plannedTargets: count, slotsPerTarget: SLOTS, floorSlots: SLOTS * 2 }]))
  printLine(`accepted document: ${await fleet.promote(measuredDocument(services))}`)
  for (let index = 0; index < DAEMONS; index++) {
    const daemon = await fleet.addDaemon()
    printLine(`${daemon.id}: callers on port ${(await daemon.ports).callers}, admin on port ${(await daemon.ports).admin}`)
  }
  return fleet
}

const sendRequests = async (fleet: Fleet, caller: Caller): Promise<void> => {
  const urls = await fleet.callerUrls()
  const results = await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => {
    const baseUrl = urls[index % urls.length] ?? ''
    const runId = `demo-${index}`
    return index % 2 === 0
      ? await caller.send({ baseUrl, method: 'GET', path: '/burnbook/read/burns', runId })
      : await caller.send({ baseUrl, method: 'POST', path: '/sackpay/pay/sacks', runId, body: `payout ${index}`, headers: { 'idempotency-key': runId } })
  }))
  const journal = await fleet.journal()
  const guaranteeBreaches = countGuaranteeBreaches({ results, journal, atMostOnceIds: new Set(results.map(result => result.runId)) })
  const verdicts = results.reduce<Readonly<Record<string, number>>>((sums, result) => {
    const key = `${result.status} ${result.verdict ?? 'no answer'}`
    return { ...sums, [key]: (sums[key] ?? 0) + 1 }
  }, {})
  printLine(`${REQUESTS} requests: ${JSON.stringify(verdicts)}`)
  printLine(`targets ran ${journal.length} requests; ${JSON.stringify(guaranteeBreaches)}`)
}

const fleet = await startFleet()
const caller = Caller.create(fleet.clock)
try {
  await sendRequests(fleet, caller)
} finally {
  await caller.close()
  await fleet.close()
  printLine('stopped')
}
