// Three zones lose two machines each for good, all at once. Then a request that crashes the upstreams that run it comes again and again, at the others.
import { HAS_TROUBLE, HOST, RegisteredUpstream, STABILITY_MS, configOf, routeOf, runCase, sleep } from '../lib-2/case.mjs'
import { ask } from '../lib-2/gateway.mjs'

const ZONES = ['bp-a', 'bp-b', 'bp-c']
const SERVICE = 'beszerzes'
const MACHINES_PER_ZONE = 4
const LOST_PER_ZONE = 2
const UPSTREAMS = 12
const DOWN_MS = 2_000
const CALM_MS = 8_000
const AFTER_LOSS_MS = 12_000
const ATTEMPTS = 15
const ATTEMPT_GAP_MS = 1_500
const LOAD_GAP_MS = 30
const MAX_LATE_RETRIES = 3
const CALLER = '127.0.0.1'

await runCase(new URL('record.txt', import.meta.url), async ({ store, record, addGateway, onClose }) => {
  const arrivals = []
  const crashes = []
  const lost = []
  const onRun = (run, upstream) => {
    if (!run.path.endsWith('/crash')) return
    arrivals.push(run)
    record(`request ${run.id} runs at upstream ${run.upstream}`)
    setTimeout(() => {
      crashes.push(performance.now())
      record(`upstream ${run.upstream} crashes under request ${run.id}; crashes so far: ${crashes.length}`)
      upstream.crash(DOWN_MS).catch(error => { record(`an upstream could not start again: ${error}`) })
    }, 20)
  }
  for (let index = 0; index < UPSTREAMS; index++) {
    const upstream = await RegisteredUpstream.start(store, '127.0.0.1', SERVICE, ZONES[index % ZONES.length], `u${index}`, onRun)
    upstream.upstream.workMs = () => 100
    onClose(async () => { await upstream.close() })
  }
  store.put('op', 'config', configOf(1, [routeOf('order', 'unsafe', SERVICE), routeOf('menu', 'safe', SERVICE)], [SERVICE]))
  const gateways = []
  for (const zone of ZONES) for (let index = 1; index <= MACHINES_PER_ZONE; index++) gateways.push(await addGateway(`edge-${zone}-${index}`, zone, { zones: ZONES }))
  await Promise.all(gateways.map(async gateway => { await gateway.start() }))
  await Promise.all(gateways.map(async gateway => { await gateway.untilReady() }))
  record(`${gateways.length} machines are ready`)

  const staying = gateways.filter(({ name }) => Number(name.split('-').at(-1)) > LOST_PER_ZONE)
  let next = 0
  const timer = setInterval(() => {
    const id = `load-${next++}`
    const isOrder = next % 2 === 0
    ask({ front: staying[next % staying.length].front, host: HOST, id, path: `/${isOrder ? 'order' : 'menu'}/${id}`, method: isOrder ? 'POST' : 'GET', ...(isOrder ? { body: 'order' } : {}), localAddress: CALLER })
      .then(({ status, error }) => { if (status !== 200) lost.push(`${id} ${isOrder ? 'unsafe' : 'safe'} ${status ?? error}`) })
  }, LOAD_GAP_MS)
  await sleep(CALM_MS)
  if (HAS_TROUBLE) {
    const leaving = gateways.filter(gateway => !staying.includes(gateway))
    for (const gateway of leaving) gateway.kill()
    record(`lost for good: ${leaving.map(({ name }) => name).join(' ')}`)
  }
  await sleep(AFTER_LOSS_MS)

  const retries = []
  for (let index = 0; index < ATTEMPTS; index++) {
    // Five times in a row in each zone.
    const zone = Math.floor(index * ZONES.length / ATTEMPTS)
    const gateway = staying[zone * (MACHINES_PER_ZONE - LOST_PER_ZONE) + index % (MACHINES_PER_ZONE - LOST_PER_ZONE)]
    const id = `crash-${index}`
    const before = arrivals.length
    const thirdAtMs = crashes[2]
    const { sentAtMs, status, error } = await ask({ front: gateway.front, host: HOST, id, path: '/order/crash', method: 'POST', body: 'the same body', localAddress: CALLER })
    record(`request ${id} sent to ${gateway.name} is answered with ${status ?? error}`)
    if (arrivals.length > before && thirdAtMs !== undefined && sentAtMs > thirdAtMs + STABILITY_MS) retries.push(id)
    await sleep(Math.max(0, sentAtMs + ATTEMPT_GAP_MS - performance.now()))
  }
  clearInterval(timer)
  record(`of ${next} other requests ${lost.length} were not served: ${lost.join(', ')}`)
  record(`upstreams crashed ${crashes.length} times; retries that reached upstreams later than ${STABILITY_MS} ms after the third crash: ${retries.length} (${retries.join(' ')}), allowed: ${MAX_LATE_RETRIES}`)
  return retries.length > MAX_LATE_RETRIES
})
