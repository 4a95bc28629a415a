import { expect } from 'chai'
import fc from 'fast-check'
import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import { loadDocument } from '@lovagehoist/common'
import type { EnvironmentDocument, RouteConfig } from '@lovagehoist/common'
import type { Clock } from '@lovagehoist/common'
import { RouteTable } from './routeTable.js'

/** A clock whose sleeps end immediately. */
const clock: Clock = { monotonicMs: () => 0, wallMs: () => 0, sleepMs: async () => {}, after: () => () => {} }

const segment = fc.constantFrom('a', 'b', 'ab', ':x', ':y')
const path = fc.tuple(fc.array(segment, { minLength: 1, maxLength: 3 }), fc.constantFrom('', '/*')).map(([segments, end]) => `/${segments.join('/')}${end}`)
const requestPath = fc.array(fc.constantFrom('a', 'b', 'ab', 'c', '%61', '%zz', ''), { maxLength: 4 }).map(segments => `/${segments.join('/')}`)
const host = fc.constantFrom(undefined, 'h', 'i')

const documentOf = (routes: readonly object[]): EnvironmentDocument => loadDocument('document', JSON.stringify({
  schemaVersion: 1,
  deployment: 'd',
  services: { s: { plannedTargets: 1, slotsPerTarget: 1, floorSlots: 0, connectionsPerTarget: 1 } },
  routes
}))._unsafeUnwrap()

/** Builds one router over all routes, as the reference, and returns the routes that it accepted. */
const buildReference = (routes: ReadonlyArray<{ readonly path: string, readonly host: string | undefined }>) => {
  const router = findMyWay({ caseSensitive: true, ignoreTrailingSlash: false })
  const accepted: object[] = []
  for (const [index, route] of routes.entries()) {
    const config = { id: `r${index}`, methods: ['GET'], path: route.path, service: 's', ...(route.host === undefined ? {} : { host: route.host }) }
    try {
      router.on('GET', route.path, route.host === undefined ? {} : { constraints: { host: route.host } }, () => {}, config)
      accepted.push(config)
    } catch {
      // Conflicts with an earlier route.
    }
  }
  return { router, accepted }
}

describe('RouteTable', () => {
  it('finds the same routes as a single router, whether built synchronously, in slices or from a previous table', async () => {
    const cases = fc.record({ routes: fc.array(fc.record({ path, host }), { maxLength: 24 }), requests: fc.array(fc.record({ path: requestPath, host }), { maxLength: 8 }) })
    await fc.assert(fc.asyncProperty(cases, async ({ routes, requests }) => {
      const { router, accepted } = buildReference(routes)
      const document = documentOf(accepted)
      const part = await RouteTable.build({ ...document, routes: document.routes.filter((_, index) => index % 3 > 0) }, clock)
      const tables = [RouteTable.create(document), await RouteTable.build(document, clock), await RouteTable.build(document, clock, part)]
      for (const request of requests) {
        const expected = router.find('GET' as HTTPMethod, request.path, { host: request.host ?? '' })?.store as RouteConfig | undefined
        for (const table of tables) expect(table.find('GET', request.path, request.host ?? '')?.id).to.equal(expected?.id)
      }
    }), { seed: 1, numRuns: 1_000 })
  })
})
