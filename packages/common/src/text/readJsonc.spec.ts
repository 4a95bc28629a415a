import { loadDocument } from '../document/loadDocument.js'
import { loadSettings } from '../settings/loadSettings.js'
import { expectSnapshot } from '../testing/matchSnapshot.js'
import { formatLocatedError } from './locatedError.js'

const errorsOf = (result: ReturnType<typeof loadDocument> | ReturnType<typeof loadSettings>): readonly string[] =>
  result.isErr() ? result.error.map(formatLocatedError) : []

describe('located errors', () => {
  it('name line, column, field and what was expected', function () {
    const text = `{
  // A document with several faults.
  "schemaVersion": 2,
  "deployment": "Umuriro",
  "services": { "sackpay": { "plannedTargets": 2, "slotsPerTarget": 6, "floorSlots": "x", "colour": 1 } },
  "routes": [{ "id": "pay", "methods": ["POST"], "path": "pay", "service": "sackpay" }]
}`
    expectSnapshot(this, errorsOf(loadDocument('umuriro.jsonc', text)))
  })

  it('include violated rules between fields', function () {
    const text = `{
  "schemaVersion": 1, "deployment": "umuriro",
  "services": { "sackpay": { "plannedTargets": 2, "slotsPerTarget": 6, "floorSlots": 13, "connectionsPerTarget": 300 } },
  "routes": [
    { "id": "pay", "methods": ["POST"], "path": "/pay", "service": "sackpay" },
    { "id": "pay", "methods": ["GET"], "path": "/burns", "service": "burnbook" }
  ]
}`
    expectSnapshot(this, errorsOf(loadDocument('umuriro.jsonc', text)))
  })

  it('include JSON syntax errors', function () {
    expectSnapshot(this, errorsOf(loadSettings('daemon.jsonc', '{ "instance": ')))
  })
})
