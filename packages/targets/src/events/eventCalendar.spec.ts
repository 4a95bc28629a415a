/* eslint-disable no-restricted-globals -- Date names fixed moments */
import { expect } from 'chai'
import type { EventConfig } from '@lovagehoist/common'
import { EventCalendar } from './eventCalendar.js'

const noon: EventConfig = { id: 'lunch', services: ['beszerzes'], startsAt: '12:00', timeZone: 'Europe/Budapest', weekdays: [1, 2, 3, 4, 5], leadMs: 120_000, durationMs: 3_600_000 }
const payday: EventConfig = { id: 'payday', services: ['sackpay'], startsAt: '00:01', timeZone: 'Africa/Kigali', weekdays: [], monthday: 1, leadMs: 120_000, durationMs: 60_000 }
const calendar = EventCalendar.create([noon, payday])

/** Thursday, 3 December 2026, at a time of day in UTC. */
const thursday = (hour: number, minute: number, second = 0): number => Date.UTC(2026, 11, 3, hour, minute, second)

describe('EventCalendar', () => {
  it('distinguishes lead time, busy time and quiet time', () => {
    expect(calendar.phase('beszerzes', thursday(10, 57, 59))).to.equal('quiet')
    expect(calendar.phase('beszerzes', thursday(10, 58))).to.equal('lead')
    expect(calendar.phase('beszerzes', thursday(11, 0))).to.equal('busy')
    expect(calendar.phase('beszerzes', thursday(11, 59, 59))).to.equal('busy')
    expect(calendar.phase('beszerzes', thursday(12, 0))).to.equal('quiet')
    expect(calendar.phase('etlap', thursday(11, 0))).to.equal('quiet')
  })

  it('observes daylight saving time and skips other days', () => {
    expect(calendar.phase('beszerzes', Date.UTC(2026, 6, 2, 10, 0))).to.equal('busy')
    expect(calendar.phase('beszerzes', Date.UTC(2026, 11, 5, 11, 0))).to.equal('quiet')
  })

  it('starts the lead time before midnight for an event after midnight', () => {
    expect(calendar.phase('sackpay', Date.UTC(2026, 10, 30, 21, 59, 30))).to.equal('lead')
    expect(calendar.phase('sackpay', Date.UTC(2026, 10, 30, 22, 1))).to.equal('busy')
    expect(calendar.phase('sackpay', Date.UTC(2026, 10, 29, 21, 59, 30))).to.equal('quiet')
  })
})
