import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { loadDocument } from '@lovagehoist/common'
import type { Clock } from '@lovagehoist/common'
import { parseDocument } from './parseDocument.js'

/** A clock whose sleeps end immediately. */
const clock: Clock = { monotonicMs: () => 0, wallMs: () => 0, sleepMs: async () => {}, after: () => () => {} }

const example = (name: string): string => readFileSync(new URL(`../../../../examples/${name}`, import.meta.url), 'utf8')

describe('parseDocument', () => {
  it('returns the same document as the loader that checks it before promotion, with and without comments', async () => {
    const many = JSON.stringify({
      schemaVersion: 1,
      deployment: 'many',
      accounts: { unlisted: 'refuse', entries: Object.fromEntries(Array.from({ length: 600 }, (_, index) => [`account-${index}`, { weight: index + 1 }])) },
      services: { s: { plannedTargets: 1, slotsPerTarget: 1, floorSlots: 0, connectionsPerTarget: 1 } },
      routes: Array.from({ length: 600 }, (_, index) => ({ id: `r${index}`, methods: ['GET'], path: `/r/${index}`, service: 's' }))
    })
    for (const text of [example('umuriro.jsonc'), example('talcas.jsonc'), many]) {
      expect(await parseDocument(clock, text)).to.deep.equal(loadDocument('document', text)._unsafeUnwrap())
    }
  })

  it('returns undefined for documents that this version cannot parse', async () => {
    for (const text of ['', '[]', '{ "schemaVersion": 2 }', example('umuriro.jsonc').replace('"routes"', '"roads"')]) {
      expect(await parseDocument(clock, text)).to.equal(undefined)
    }
  })
})
