import type { BufferBudget } from '@lovagehoist/callers'
import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'

/**
 * Registers gauges of the buffer budget.
 *
 * @param registry - Registry of this daemon.
 * @param budget - Budget of request bodies and responses.
 */
export const registerBufferMetrics = (registry: Registry, budget: BufferBudget): void => {
  const gauge = <Label extends string>(name: string, help: string, labelNames: readonly Label[], collect: (gauge: Gauge<Label>) => void): void => {
    const created: Gauge<Label> = new Gauge({ name: `lovagehoist_${name}`, help, labelNames: [...labelNames], registers: [registry], collect: () => { collect(created) } })
  }
  gauge('buffer_capacity_bytes', 'Bytes that request bodies and responses may take together.', [], metric => { metric.set(budget.capacityBytes) })
  gauge('buffered_bytes', 'Bytes of request bodies and of responses that callers have not read.', ['use'], metric => {
    metric.set({ use: 'body' }, budget.heldFor('body'))
    metric.set({ use: 'response' }, budget.heldFor('response'))
  })
  gauge('paused_bodies', 'Requests whose bodies are not read for lack of room.', [], metric => { metric.set(budget.waitingCount) })
  gauge('refused_bodies', 'Bodies refused, since the start of the process: no room in time, or larger than the capacity.', ['reason'], metric => {
    metric.set({ reason: 'no-room' }, budget.refusedFor('no-room'))
    metric.set({ reason: 'too-large' }, budget.refusedFor('too-large'))
  })
  gauge('paused_responses', 'Responses that are not read from their targets for lack of room.', [], metric => { metric.set(budget.waitingReadCount) })
  gauge('responses_not_buffered', 'Responses streamed for lack of room, since the start of the process.', [], metric => { metric.set(budget.streamedCount) })
}
