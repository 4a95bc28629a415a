import { Readable } from 'node:stream'
import { expect } from 'chai'
import { SeededRandom, VERDICT_HEADER, silentLog } from '@lovagehoist/common'
import type { GatewayHeaders, InstanceRecord, TargetFailure, TargetResponse } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { BufferBudget } from '../buffering/bufferBudget.js'
import { PeerForwarder } from './peerForwarder.js'
import type { ForwardingResult } from './peerForwarder.js'
import type { AcceptedGatewayRequest } from './acceptGatewayRequest.js'

type Sent = TargetResponse | TargetFailure

const HEADERS = { requestId: 'id', deadline: 'deadline', signature: 'signature' } as unknown as GatewayHeaders
const PEERS = ['d1', 'd2', 'd3'].map((instanceId): InstanceRecord => ({ instanceId, startId: instanceId, host: instanceId, availabilityZone: 'a', relayFitness: 1 }))

const failure = (verdict: TargetFailure['verdict']): TargetFailure =>
  ({ type: 'failure', verdict, outcome: verdict === 'not-run' ? 'refused' : 'reset', message: verdict, isFreshConnection: true, latencyMs: 1 })

const problem = (kind: string): TargetResponse => ({
  type: 'answer',
  status: 503,
  headers: [VERDICT_HEADER, 'not-run', 'content-type', 'application/problem+json'],
  trailers: () => [],
  body: Readable.from([Buffer.from(JSON.stringify({ type: `urn:lovagehoist:problem:${kind}`, detail: kind }))]),
  isFreshConnection: true,
  latencyMs: 1
})

/** Forwards a repeatable request to daemons that answer in turn. */
const forward = async (...results: readonly Sent[]): Promise<ForwardingResult> => {
  const clock = ManualClock.create()
  const remaining = [...results]
  const send = async (): Promise<Sent> => remaining.shift() ?? failure('not-run')
  const forwarder = PeerForwarder.create({ clock, random: SeededRandom.create(1), log: silentLog, headers: HEADERS, sender: { send, warm: async () => {}, closeIdleConnections: () => {} }, peers: () => PEERS, peerPort: 1 })
  const accepted = { requestId: 'r', route: { isIdempotent: true }, service: 's', configVersion: 1, callerAddress: '10.0.0.1', method: 'GET', path: '/', body: undefined, headers: [], deadlineAtMs: 1_000, bufferHold: BufferBudget.create({ capacityBytes: 1_000_000, invariants: { check: () => {} } }).open(), disconnectSignal: new AbortController().signal } as unknown as AcceptedGatewayRequest
  return await forwarder.forward(accepted, 3, () => true)
}

const verdictOf = (result: ForwardingResult): string => result.type === 'problem' ? result.problem.verdict : result.type

describe('PeerForwarder', () => {
  it('reports a request as not run when no daemon took it', async () => {
    expect((await forward(failure('not-run'), failure('not-run'), failure('not-run'))).type).to.equal('not-taken')
  })

  it('does not report a request as not run that one daemon may have run, when no other takes it', async () => {
    expect(verdictOf(await forward(failure('may-have-run'), failure('not-run'), failure('not-run')))).to.equal('may-have-run')
  })

  it('does not report a request as not run that one daemon may have run, when another refuses it', async () => {
    expect(verdictOf(await forward(failure('may-have-run'), problem('overload')))).to.equal('may-have-run')
  })
})
