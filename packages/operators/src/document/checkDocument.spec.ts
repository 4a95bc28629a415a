import { formatLocatedError } from '@lovagehoist/common'
import { expectSnapshot } from '@lovagehoist/common/testing'
import { checkDocument } from './checkDocument.js'

const service = { plannedTargets: 2, slotsPerTarget: 6, floorSlots: 6, connectionsPerTarget: 300 }
const route = (id: string, path: string, change: object = {}): object => ({ id, methods: ['GET'], path, service: 'sackpay', ...change })

const errorsOf = (document: object): readonly string[] => {
  const checked = checkDocument('document.jsonc', JSON.stringify({ schemaVersion: 1, deployment: 'umuriro', services: { sackpay: service }, routes: [], ...document }, null, 1))
  return checked.isErr() ? checked.error.map(formatLocatedError) : []
}

describe('checkDocument', () => {
  it('refuses routes that shadow each other, and only these', function () {
    expectSnapshot(this, errorsOf({
      routes: [
        route('a', '/payouts/:id'),
        route('same-shape', '/payouts/:number'),
        route('static-beside-parameter', '/payouts/new'),
        route('other-host', '/payouts/:id', { host: 'pay.example' }),
        route('same-host', '/payouts/:x', { host: 'PAY.example' }),
        route('one-method-of-two', '/payouts/new', { methods: ['POST', 'GET'] }),
        route('optional-end', '/burns/:id?'),
        route('covered-by-optional', '/burns'),
        route('wildcard-inside', '/a/*/b'),
        route('any', '/*'),
        route('any-again', '/*')
      ]
    }))
  })

  it('refuses invalid floors, connections, services and time zones', function () {
    const event = { id: 'noon', services: ['etlap'], startsAt: '12:00', timeZone: 'Europe/Buda' }
    expectSnapshot(this, errorsOf({
      services: { sackpay: { ...service, floorSlots: 13 }, kilndesk: { ...service, connectionsPerTarget: 5 } },
      routes: [route('a', '/a', { service: 'burnbook' })],
      events: [event],
      removedServices: ['sackpay']
    }))
  })
})
