import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { SeededRandom } from '@lovagehoist/common'
import type { JsonValue } from '@lovagehoist/common'
import { FakePlatform, ManualClock } from '@lovagehoist/common/fakes'
import { CONFIG_FORMAT } from '@lovagehoist/platform'
import { expectSnapshot } from '@lovagehoist/common/testing'
import type { FleetView } from '../inForce/fleetView.js'
import type { AdminClient } from './adminClient.js'
import type { CommandDependencies } from './commandContext.js'
import { runCommand } from './program.js'

const DOCUMENT = `{
  "schemaVersion": 1, "deployment": "umuriro",
  "services": { "sackpay": { "plannedTargets": 2, "slotsPerTarget": 6, "floorSlots": 6, "connectionsPerTarget": 300 } },
  "routes": [{ "id": "payout", "methods": ["POST"], "path": "/payouts", "service": "sackpay" }]
}`
const GATEWAY_CONFIG = `{
  "version": "r12",
  "routes": [
    { "name": "pay", "host": "shop.example", "path_prefix": "/pay/", "kind": "safe", "timeout": "4s", "target_latency": "1s", "priority": 1, "max_attempts": 2, "service": "sackpay" }
  ],
  "services": [{ "name": "sackpay", "max_connections": 300 }],
  "limits": { "max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3s", "idle_timeout": "15s" },
  "tenants": [
    { "name": "acme", "api_keys": ["secret-acme"], "rate_per_s": 10, "burst": 5 },
    { "name": "bare", "api_keys": ["secret-bare"] }
  ]
}`
const ACCOUNTS_LOG = [
  { at: '2026-12-04T10:00:00.000Z', instance: 'a-1', part: 'accounts', message: 'account limited to its quota', account: 'acme' },
  { at: '2026-12-04T10:00:01.000Z', instance: 'a-1', part: 'front', message: 'answered by the gateway', problem: 'over-quota', account: 'acme' },
  { at: '2026-12-04T10:00:02.000Z', instance: 'b-1', part: 'front', message: 'answered', requestId: 'r1', account: 'bare' },
  { at: '2026-12-04T10:00:03.000Z', instance: 'b-1', part: 'accounts', message: 'unknown key refused', keyDigest: '0a1b2c3d' }
].map(line => JSON.stringify(line)).join('\n')
const SETTINGS = `{
  "operator": "ada",
  "platform": { "tableUrl": "http://127.0.0.1:1/t", "objectsUrl": "http://127.0.0.1:1/o", "directoryUrl": "http://127.0.0.1:1/d" },
  "environments": { "trial": "trial", "production": "production" },
  "admin": { "daemon-0": "http://127.0.0.1:2", "trial-0": "http://127.0.0.1:3" }
}`
const MAX_COMMAND_MS = 60_000
const COMMAND_STEP_MS = 100

/** Runs commands against fakes; every daemon applies the newest version at once, except those in `lagging`. */
class CommandLineFixture {
  readonly clock = ManualClock.create()
  readonly platformState = FakePlatform.create(this.clock)
  readonly connection = this.platformState.connect()
  readonly folder = mkdtempSync(join(tmpdir(), 'lovagehoist-cli-'))
  readonly lagging = new Set<string>()
  isAdminUnreachable = false
  private readonly random = SeededRandom.create(1)

  writeFile (name: string, text: string): string {
    writeFileSync(join(this.folder, name), text)
    return join(this.folder, name)
  }

  /** Runs a command; returns its exit code and its output, in which FOLDER replaces the path of the temporary folder. */
  async run (...argv: readonly string[]): Promise<{ readonly code: number, readonly out: string, readonly error: string }> {
    const out: string[] = []
    const error: string[] = []
    let sleepers = 0
    const sleepMs = async (durationMs: number): Promise<void> => {
      sleepers++
      await this.clock.sleepMs(durationMs)
      sleepers--
    }
    const dependencies: CommandDependencies = {
      clock: { monotonicMs: this.clock.monotonicMs, wallMs: this.clock.wallMs, after: this.clock.after, sleepMs },
      random: this.random,
      openPlatform: () => this.connection.platform,
      openAdmin: () => this.createAdminClient(),
      gatewayConfigFormat: CONFIG_FORMAT,
      print: line => { out.push(line) },
      printError: line => { error.push(line) }
    }
    const ended: number[] = []
    const running = runCommand(['--settings', this.writeFile('operator.jsonc', SETTINGS), ...argv], dependencies).then(code => { ended.push(code) })
    const endsAtMs = this.clock.monotonicMs() + MAX_COMMAND_MS
    while (ended.length === 0 && this.clock.monotonicMs() < endsAtMs) {
      // Time does not advance while the command reads files, so that its output does not depend on the speed of the machine.
      await this.clock.advanceMs(sleepers > 0 ? COMMAND_STEP_MS : 0)
    }
    await running
    const clean = (lines: readonly string[]): string => lines.join('\n').replaceAll(this.folder, 'FOLDER')
    return { code: ended[0] ?? -1, out: clean(out), error: clean(error) }
  }

  close (): void {
    rmSync(this.folder, { recursive: true })
  }

  private createAdminClient (): AdminClient {
    const answers: Readonly<Record<string, (instanceId: string) => JsonValue>> = {
      '/config': instanceId => this.createFleetView(instanceId.startsWith('trial') ? 'trial' : 'production') as unknown as JsonValue,
      '/dump': () => ({ config: { version: 1 } }),
      '/instances/daemon-1/dump': () => ({ config: { version: 2 } }),
      '/drain': () => ({ isDraining: true }),
      '/targets/sackpay': () => ({
        targets: [
          { id: 'sackpay-2', availabilityZone: 'b', host: '127.0.0.1', port: 7, slots: 6, isLeaving: false, status: 'trial', weight: 0.05, idempotentOnly: true },
          { id: 'sackpay-1', availabilityZone: 'a', host: '127.0.0.1', port: 7, slots: 6, isLeaving: false, status: 'healthy', weight: 1, idempotentOnly: false }
        ]
      })
    }
    return {
      instanceIds: ['daemon-0', 'trial-0'],
      call: async (instanceId, { path }) => {
        const answer = answers[path]
        return answer === undefined || this.isAdminUnreachable ? err({ kind: 'unreachable', message: `${instanceId}: no answer` }) : ok(answer(instanceId))
      }
    }
  }

  private createFleetView (environment: 'trial' | 'production'): FleetView {
    const row = this.platformState.table.get('environments', environment, true)?.value as { readonly version: number, readonly digest: string } | undefined
    const ids = environment === 'trial' ? ['trial-0'] : ['daemon-0', 'daemon-1', 'daemon-2']
    const instances = ids.map((instanceId, index) => {
      const isLagging = this.lagging.has(instanceId)
      const held = isLagging ? { version: 0, digest: '' } : { version: row?.version ?? 0, digest: row?.digest ?? '' }
      return { instanceId, region: 'local', availabilityZone: 'abc'[index] ?? 'a', status: index === 0 ? 'self' as const : 'reachable' as const, ...held, isReady: held.version > 0, ageMs: 0 }
    })
    return { environment, instanceId: ids[0] ?? '', isAlone: false, knownVersion: row?.version ?? 0, instances }
  }
}

describe('lovagehoist', () => {
  let fixture: CommandLineFixture

  beforeEach(() => { fixture = new CommandLineFixture() })
  afterEach(() => { fixture.close() })

  it('checks, tries and promotes a document', async function () {
    const file = fixture.writeFile('umuriro.jsonc', DOCUMENT)
    const checked = await fixture.run('config', 'check', file)
    const { digest } = JSON.parse((await fixture.run('--json', 'config', 'check', file)).out) as { readonly digest: string }
    const early = await fixture.run('config', 'promote', digest)
    const tried = await fixture.run('config', 'trial', file)
    const promoted = await fixture.run('--json', 'config', 'promote', digest)
    const again = await fixture.run('config', 'promote', digest)
    expectSnapshot(this, { checked, early, tried, promoted, again })
  })

  it('shows state as tables and as JSON', async function () {
    const file = fixture.writeFile('umuriro.jsonc', DOCUMENT)
    await fixture.run('config', 'trial', file)
    const { digest } = JSON.parse((await fixture.run('--json', 'config', 'check', file)).out) as { readonly digest: string }
    await fixture.run('config', 'promote', digest)
    fixture.lagging.add('daemon-2')
    const commands = [['config', 'status'], ['config', 'history'], ['instances'], ['targets', 'sackpay'], ['dump', 'daemon-0'], ['dump', 'daemon-1'], ['drain', 'daemon-0']]
    const shown: Record<string, unknown> = {}
    for (const command of commands) {
      shown[command.join(' ')] = await fixture.run(...command)
      shown[`${command.join(' ')} --json`] = await fixture.run(...command, '--json')
    }
    expectSnapshot(this, shown)
  })

  it('reports each failure with the exit code of its kind', async function () {
    const file = fixture.writeFile('umuriro.jsonc', DOCUMENT)
    const wrong = fixture.writeFile('wrong.jsonc', DOCUMENT.replace('"floorSlots": 6', '"floorSlots": 60, "colour": 1'))
    const results: Record<string, unknown> = {
      wrongDocument: await fixture.run('config', 'check', wrong),
      wrongDocumentJson: await fixture.run('config', 'check', wrong, '--json'),
      missingFile: await fixture.run('config', 'check', join(fixture.folder, 'missing.jsonc')),
      wrongDigest: await fixture.run('config', 'promote', '12'),
      wrongOption: await fixture.run('config', 'trial', file, '--hold', 'long'),
      unknownCommand: await fixture.run('config', 'demote'),
      unknownTarget: await fixture.run('targets', 'burnbook')
    }
    fixture.lagging.add('trial-0')
    results.notInForce = await fixture.run('config', 'trial', file)
    fixture.connection.faults.isDown = true
    results.tableOut = await fixture.run('config', 'status')
    fixture.isAdminUnreachable = true
    results.allOut = await fixture.run('config', 'status')
    expectSnapshot(this, results)
  })

  it('checks a configuration of the gateway and compares it without printing a key', async function () {
    const inForce = fixture.writeFile('in-force.json', GATEWAY_CONFIG)
    const write = (name: string, ...changes: ReadonlyArray<readonly [string, string]>): string =>
      fixture.writeFile(name, changes.reduce((text, [from, to]) => text.replace(from, to), GATEWAY_CONFIG))
    const next = write('next.json', ['r12', 'r13'], ['"4s"', '"6s"'], ['"secret-acme"', '"secret-next"'], ['"burst": 5', '"burst": 0'])
    const wrong = write('wrong.json', ['"1s"', '"5s"'], ['"service": "sackpay"', '"service": "burnbook"'], ['secret-bare', 'secret-acme'])
    const undecodable = write('undecodable.json', ['"4s"', '4'], ['["secret-bare"]', '["secret-bare", 7]'], ['"r12"', '"12"'])
    const trailing = write('trailing.json', ['["secret-bare"]', '["secret-bare", ]'])
    const results = {
      alone: await fixture.run('config', 'check', inForce, '--gateway'),
      unchanged: await fixture.run('config', 'check', inForce, '--against', inForce),
      next: await fixture.run('config', 'check', next, '--against', inForce),
      nextJson: await fixture.run('config', 'check', next, '--against', inForce, '--json'),
      older: await fixture.run('config', 'check', inForce, '--against', next),
      wrong: await fixture.run('config', 'check', wrong, '--against', inForce),
      wrongJson: await fixture.run('--json', 'config', 'check', wrong, '--gateway'),
      undecodable: await fixture.run('config', 'check', inForce, '--against', undecodable),
      trailing: await fixture.run('config', 'check', trailing, '--gateway'),
      noJson: await fixture.run('config', 'check', fixture.writeFile('no.json', GATEWAY_CONFIG.slice(0, -40)), '--gateway'),
      version: await fixture.run('config', 'check', next, '--against', 'r12')
    }
    expect(JSON.stringify(results)).not.to.include('secret')
    expectSnapshot(this, results)
  })

  it('sums up client accounts from logs', async function () {
    const log = fixture.writeFile('gate.log', ACCOUNTS_LOG)
    expectSnapshot(this, { table: await fixture.run('accounts', log), json: await fixture.run('accounts', log, '--json'), none: await fixture.run('accounts', fixture.writeFile('empty.log', '')) })
  })
})
