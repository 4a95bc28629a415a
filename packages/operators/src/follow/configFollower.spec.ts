import { expect } from 'chai'
import fc from 'fast-check'
import { SeededRandom } from '@lovagehoist/common'
import type { Platform } from '@lovagehoist/common'
import type { FakePlatformFaults } from '@lovagehoist/common/fakes'
import { HISTORY_TABLE, environmentRowSchema, historyKey } from '../environment/environmentRow.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'
import { awaitInForce } from '../inForce/awaitInForce.js'
import { promote, storeDocument } from '../promotion/promote.js'
import type { PromotionError } from '../promotion/promotionError.js'
import { ENVIRONMENT, FollowerFleet, numberedDocument } from '../testing/followerFleet.js'

const SIZE = 5
const STEP_MS = 250
const IN_FORCE_LIMIT_MS = 5_000
const SETTLE_MS = 20_000
const VIEWS_READ = 2

interface Operator {
  readonly name: string
  readonly platform: Platform
  readonly faults: FakePlatformFaults
}

/** Records what the fleet did, and checks the invariants that have to hold. */
class Oracle {
  readonly winnersByVersion = new Map<number, string>()
  /** Promotions in progress. */
  runningPromotions = 0
  private readonly failures: unknown[] = []
  reportedVersion = 0
  private readonly lastVersions = new Map<string, number>()
  private reachableSinceMs: number[] = []
  private newestVersion = 0
  private newestAtMs = 0
  private operationCount = 0

  constructor (readonly fleet: FollowerFleet, readonly operators: readonly Operator[]) {}

  /** Runs a promotion and, if it wins, waits until its version is in force. */
  async promote (operator: Operator, seenVersion: number): Promise<void> {
    const { clock } = this.fleet
    const operationId = `${operator.name}-${this.operationCount++}`
    const stored = await storeDocument(operator.platform, 'document', numberedDocument(this.operationCount))
    if (stored.isErr()) return
    const random = SeededRandom.create(this.operationCount)
    const result = await promote({ platform: operator.platform, clock, random }, {
      environment: ENVIRONMENT, digest: stored.value, operationId, promotedBy: operator.name, seenVersion
    })
    if (result.isOk()) await this.onPromoted(result.value)
    else this.onRejected(result.error)
  }

  /** Runs a promotion concurrently with the other actions. */
  track (promotion: Promise<void>): void {
    this.runningPromotions++
    promotion.catch(error => { this.failures.push(error) }).finally(() => { this.runningPromotions-- })
  }

  /** Checks the invariants that hold at every moment. */
  check (): void {
    if (this.failures.length > 0) throw this.failures[0]
    expect(this.fleet.breaches).to.deep.equal([])
    const nowMs = this.fleet.clock.monotonicMs()
    this.readNewest(nowMs)
    for (const [index, { identity, follower, pause, faults }] of this.fleet.instances.entries()) {
      const version = follower.current()?.version ?? 0
      expect(version, 'a version decreased').to.be.at.least(this.lastVersions.get(identity.startId) ?? 0)
      this.lastVersions.set(identity.startId, version)
      const served = follower.serving.current()?.version
      if (served !== undefined && !pause.isPaused) expect(served, `${identity.instanceId} serves an older version than was reported in force`).to.be.at.least(this.reportedVersion)
      if (pause.isPaused || faults.isDown) this.reachableSinceMs[index] = nowMs
      const sinceMs = Math.max(this.reachableSinceMs[index] ?? 0, this.newestAtMs)
      if (nowMs - sinceMs > IN_FORCE_LIMIT_MS) expect(served, `${identity.instanceId} is late`).to.equal(this.newestVersion === 0 ? undefined : this.newestVersion)
    }
  }

  /** Restarts the time limit of a replaced instance. */
  onReplaced (index: number): void {
    this.reachableSinceMs[index] = this.fleet.clock.monotonicMs()
  }

  private async onPromoted (row: EnvironmentRow): Promise<void> {
    expect(this.winnersByVersion.get(row.version), 'two winners of one version').to.equal(undefined)
    this.winnersByVersion.set(row.version, row.operationId)
    expect(this.historyOf(row.version)?.operationId).to.equal(row.operationId)
    const result = await awaitInForce({
      clock: this.fleet.clock,
      version: row.version,
      timeoutMs: IN_FORCE_LIMIT_MS * 2,
      readViews: async () => ({ views: this.fleet.instances.filter(({ pause }) => !pause.isPaused).slice(0, VIEWS_READ).map(({ view }) => view()), unansweredIds: [] })
    })
    if (result.isInForce) this.reportedVersion = Math.max(this.reportedVersion, row.version)
  }

  private onRejected (error: PromotionError): void {
    if (error.kind !== 'conflict' || error.winner === undefined) return
    expect(this.historyOf(error.winner.version)?.operationId, 'the conflict names a wrong winner').to.equal(error.winner.operationId)
  }

  private historyOf (version: number): EnvironmentRow | undefined {
    const row = this.fleet.platform.table.get(HISTORY_TABLE, historyKey(ENVIRONMENT, version), true)
    return row === undefined ? undefined : environmentRowSchema.parse(row.value)
  }

  private readNewest (nowMs: number): void {
    if (this.historyOf(this.newestVersion + 1) === undefined) return
    this.newestVersion++
    this.newestAtMs = nowMs
  }
}

interface Action {
  readonly kind: 'promote' | 'promoteBoth' | 'advance' | 'pause' | 'replace' | 'cut' | 'down' | 'downAll' | 'stale' | 'sync' | 'isolate' | 'mend'
  readonly index: number
  readonly other: number
  readonly isOn: boolean
}

const advance = async (oracle: Oracle, durationMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    await oracle.fleet.clock.advanceMs(STEP_MS)
    oracle.check()
  }
}

const latestVersion = ({ fleet }: Oracle): number =>
  Math.max(0, ...fleet.platform.table.list(HISTORY_TABLE, `${ENVIRONMENT}/`, true).map(row => environmentRowSchema.parse(row.value).version))

const startPromotion = (oracle: Oracle, index: number, isOn: boolean): void => {
  const operator = oracle.operators[index % oracle.operators.length]
  if (operator === undefined) throw new Error('no operator')
  operator.faults.losesAnswers = isOn
  oracle.track(oracle.promote(operator, latestVersion(oracle)))
}

const handlers: Readonly<Record<Action['kind'], (oracle: Oracle, action: Action) => Promise<void>>> = {
  promote: async (oracle, { index, isOn }) => { startPromotion(oracle, index, isOn) },
  promoteBoth: async (oracle, { isOn }) => {
    startPromotion(oracle, 0, isOn)
    startPromotion(oracle, 1, !isOn)
  },
  advance: async (oracle, { index, other }) => { await advance(oracle, (index * SIZE + other + 1) * STEP_MS) },
  pause: async ({ fleet }, { index, isOn }) => { fleet.setPaused(index, isOn) },
  replace: async (oracle, { index }) => {
    oracle.fleet.replace(index)
    oracle.onReplaced(index)
  },
  cut: async ({ fleet }, { index, other, isOn }) => { if (index !== other) fleet.setLinkCut(index, other, isOn) },
  down: async ({ fleet }, { index, isOn }) => { Object.assign(fleet.instances[index]?.faults ?? {}, { isDown: isOn }) },
  downAll: async ({ fleet, operators }, { isOn }) => {
    for (const { faults } of [...fleet.instances, ...operators]) faults.isDown = isOn
  },
  isolate: async ({ fleet }, { index, other }) => { fleet.isolate([...new Set([index, other])]) },
  mend: async ({ fleet }) => { fleet.clearFaults() },
  sync: async ({ fleet }) => { fleet.platform.table.syncReplica() },
  stale: async ({ fleet }, { index, isOn }) => { Object.assign(fleet.instances[index]?.faults ?? {}, { isReplicaStale: isOn }) }
}

class Step implements fc.AsyncCommand<object, Oracle> {
  constructor (private readonly action: Action) {}

  check = (): boolean => true

  async run (_model: object, oracle: Oracle): Promise<void> {
    await handlers[this.action.kind](oracle, this.action)
    await advance(oracle, STEP_MS)
  }

  toString = (): string => JSON.stringify(this.action)
}

const createOracle = (): Oracle => {
  const fleet = FollowerFleet.create(SIZE)
  return new Oracle(fleet, ['ada', 'ben'].map(name => ({ name, ...fleet.platform.connect() })))
}

const kinds = Object.keys(handlers) as ReadonlyArray<Action['kind']>

const steps: Array<fc.Arbitrary<fc.AsyncCommand<object, Oracle>>> = [
  fc.record({ kind: fc.constantFrom(...kinds, 'promote', 'advance', 'advance'), index: fc.nat(SIZE - 1), other: fc.nat(SIZE - 1), isOn: fc.boolean() }).map(action => new Step(action))
]

const runModel = async (commands: Iterable<fc.AsyncCommand<object, Oracle>>): Promise<void> => {
  const oracle = createOracle()
  try {
    await fc.asyncModelRun(() => ({ model: {}, real: oracle }), commands)
    oracle.fleet.clearFaults()
    for (const { faults } of oracle.operators) Object.assign(faults, { isDown: false, losesAnswers: false })
    await advance(oracle, SETTLE_MS)
    while (oracle.runningPromotions > 0) await advance(oracle, STEP_MS)
    const versions = oracle.fleet.instances.map(({ follower }) => follower.serving.current()?.version ?? 0)
    expect(versions, 'not all instances reached the newest version').to.deep.equal(versions.map(() => latestVersion(oracle)))
  } finally {
    oracle.fleet.stop()
  }
}

const promoteAndAdvance = async (oracle: Oracle, index = 0): Promise<void> => {
  startPromotion(oracle, index, false)
  await advance(oracle, IN_FORCE_LIMIT_MS * 2)
}

const servedVersions = ({ fleet }: Oracle): ReadonlyArray<number | undefined> => fleet.instances.map(({ follower }) => follower.serving.current()?.version)

describe('ConfigFollower', () => {
  it('never returns to an older version, has one winner per version and never serves an older version than was reported in force', async () => {
    await fc.assert(
      fc.asyncProperty(fc.commands(steps, { maxCommands: 40, size: 'max' }), runModel),
      { seed: Number(process.env.FUZZ_SEED ?? 1), numRuns: Number(process.env.FUZZ_RUNS ?? 40) }
    )
  })

  it('fences a partitioned minority before a newer version is reported in force', async () => {
    const oracle = createOracle()
    await promoteAndAdvance(oracle)
    oracle.fleet.isolate([3, 4])
    await promoteAndAdvance(oracle)
    expect([servedVersions(oracle), oracle.reportedVersion]).to.deep.equal([[2, 2, 2, undefined, undefined], 2])
    oracle.fleet.clearFaults()
    await advance(oracle, IN_FORCE_LIMIT_MS)
    expect(servedVersions(oracle)).to.deep.equal([2, 2, 2, 2, 2])
    oracle.fleet.stop()
  })

  it('reports no version in force while a partitioned majority may still serve the older one', async () => {
    const oracle = createOracle()
    await promoteAndAdvance(oracle)
    oracle.fleet.isolate([2, 3, 4])
    await promoteAndAdvance(oracle)
    expect([servedVersions(oracle), oracle.reportedVersion]).to.deep.equal([[2, 2, 1, 1, 1], 1])
    oracle.fleet.stop()
  })

  it('keeps serving when the store is unavailable for all, and gives a new instance the highest version of its peers', async () => {
    const oracle = createOracle()
    await promoteAndAdvance(oracle)
    for (const { faults } of oracle.fleet.instances) faults.isDown = true
    await oracle.fleet.clock.advanceMs(IN_FORCE_LIMIT_MS * 10)
    expect(servedVersions(oracle)).to.deep.equal([1, 1, 1, 1, 1])
    oracle.fleet.replace(2)
    await oracle.fleet.clock.advanceMs(IN_FORCE_LIMIT_MS)
    expect(servedVersions(oracle)).to.deep.equal([1, 1, 1, 1, 1])
    oracle.fleet.stop()
  })

  it('does not serve at the first read after a pause, and recovers with the newest version', async () => {
    const oracle = createOracle()
    await promoteAndAdvance(oracle)
    oracle.fleet.setPaused(1, true)
    await promoteAndAdvance(oracle)
    const servedAfterPause = oracle.fleet.instances[1]?.follower.serving.current()
    oracle.fleet.setPaused(1, false)
    await advance(oracle, IN_FORCE_LIMIT_MS)
    expect([servedAfterPause, servedVersions(oracle)]).to.deep.equal([undefined, [2, 2, 2, 2, 2]])
    oracle.fleet.stop()
  })

  it('adopts a new version although its replica of the table lags and no peer is reachable', async () => {
    const oracle = createOracle()
    await promoteAndAdvance(oracle)
    const { fleet } = oracle
    fleet.platform.table.syncReplica()
    fleet.isolate([1])
    Object.assign(fleet.instances[1]?.faults ?? {}, { isDown: false, isReplicaStale: true })
    await promoteAndAdvance(oracle)
    expect(servedVersions(oracle)).to.deep.equal([2, 2, 2, 2, 2])
    fleet.stop()
  })

  it('fences an instance that cannot fetch a newer version which all others hold', async () => {
    const oracle = createOracle()
    await promoteAndAdvance(oracle)
    const { fleet } = oracle
    for (const { identity } of fleet.instances) fleet.network.find(identity.instanceId)?.handle('config.document', async () => null)
    Object.assign(fleet.instances[1]?.faults ?? {}, { isDown: true })
    await promoteAndAdvance(oracle)
    expect(servedVersions(oracle)).to.deep.equal([2, undefined, 2, 2, 2])
    fleet.stop()
  })
})
