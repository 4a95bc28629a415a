import { expect } from 'chai'
import { summarizeAccountUsage } from '@lovagehoist/operators'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { GatewayFleet } from './gatewayFleet.js'
import type { AccountOptions, CallResponse } from './gatewayFleet.js'

const ROUTES = [
  { prefix: '/p/', kind: 'safe', service: 's' },
  { prefix: '/open/', kind: 'safe', service: 's', isPublic: true }
] as const
const ACME: AccountOptions = { name: 'acme', keys: ['acmesecretkey1', 'acmesecretkey2'] }
const ZENITH: AccountOptions = { name: 'zenith', keys: ['zenithsecretkey'] }
const ACCOUNT_HEADER = PLATFORM_HEADERS.account

describe('client accounts, end to end', () => {
  let fleet: GatewayFleet

  const callWith = async (headers: Readonly<Record<string, string | string[]>>, path = '/p/x', daemon = 0): Promise<CallResponse> => await fleet.call({ daemon, path, headers })
  const callAs = async (key: string, path = '/p/x', daemon = 0): Promise<CallResponse> => await callWith({ authorization: `Bearer ${key}` }, path, daemon)
  /** Values of a header field that targets received, for all requests in order. */
  const receivedValues = (name: string): readonly string[] =>
    [...fleet.targets.values()].flatMap(({ runs }) => runs.flatMap(({ rawHeaders }) => rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name)))

  beforeEach(async () => {
    fleet = await GatewayFleet.create()
    fleet.hasCuttableLinks = true
    fleet.configure(ROUTES, [ACME, ZENITH])
    // A daemon that fails to reach a single target would not conclude that it is cut off.
    for (const id of ['s-0', 's-1', 's-2']) await fleet.addTarget(id, 's')
    await fleet.addDaemon()
  })

  afterEach(async () => { await fleet.close() })

  it('names the account to the target and passes no key on, whatever account the caller claims', async () => {
    expect((await callWith({ authorization: 'Bearer acmesecretkey2', [ACCOUNT_HEADER]: 'zenith', 'X-Other': 'kept' })).status).to.equal(200)
    expect((await callAs('zenithsecretkey')).status).to.equal(200)
    expect(receivedValues(ACCOUNT_HEADER)).to.have.members(['acme', 'zenith'])
    expect(receivedValues('authorization')).to.deep.equal([])
    expect(receivedValues('x-other')).to.deep.equal(['kept'])
  })

  it('passes neither key nor a claimed account on where the route is public', async () => {
    expect((await callWith({ authorization: 'Bearer acmesecretkey1', [ACCOUNT_HEADER]: 'zenith' }, '/open/x')).status).to.equal(200)
    expect([...receivedValues(ACCOUNT_HEADER), ...receivedValues('authorization')]).to.deep.equal([])
  })

  it('runs nothing without a key that the configuration holds', async () => {
    const attempts: ReadonlyArray<Readonly<Record<string, string | string[]>>> = [{}, { authorization: '' }, { authorization: 'Basic acmesecretkey1' }, { authorization: 'Bearer guess' }, { authorization: ['Bearer acmesecretkey1', 'Bearer acmesecretkey1'] }]
    for (const headers of attempts) {
      const response = await callWith(headers)
      expect([response.status, response.header('www-authenticate')]).to.deep.equal([401, 'Bearer'])
    }
    expect(fleet.runs()).to.deep.equal([])
  })

  it('accepts an added key and refuses a removed one on an open connection', async () => {
    const connection = fleet.connect(0)
    const statusOf = async (key: string): Promise<number> => (await connection.call({ headers: { authorization: `Bearer ${key}` } })).status
    expect(await statusOf('acmesecretkey1')).to.equal(200)
    fleet.configure(ROUTES, [{ ...ACME, keys: ['acmesecretkey2', 'addedkey'] }, ZENITH])
    await fleet.waitUntil(async () => await statusOf('addedkey') === 200)
    expect(await statusOf('acmesecretkey1')).to.equal(401)
    await connection.close()
  })

  it('carries the account along when another daemon serves the request', async () => {
    await fleet.addDaemon()
    fleet.daemons[0]?.links.cut('refused')
    await fleet.waitUntil(async () => (await callAs('zenithsecretkey')).status === 200)
    expect(fleet.logLines.some(({ message }) => message === 'forwarded to another daemon')).to.equal(true)
    expect(new Set(receivedValues(ACCOUNT_HEADER))).to.deep.equal(new Set(['zenith']))
    expect(receivedValues('authorization')).to.deep.equal([])
  })

  it('names the account of a request over quota in the log, so that operators see who was refused', async () => {
    fleet.configure(ROUTES, [{ ...ACME, requestsPerSecond: 1, burst: 1 }, ZENITH])
    await fleet.waitUntil(async () => (await callAs('acmesecretkey1')).status === 429)
    const summary = summarizeAccountUsage([fleet.logText])
    expect(summary.unnamedRefusals).to.equal(0)
    expect(summary.accounts.map(({ account, refused }) => [account, refused])).to.deep.equal([['acme', 1]])
  })

  it('writes no key to the log', async () => {
    for (const key of [...ACME.keys, 'someguessedkey']) await callAs(key)
    await callWith({ authorization: 'Basic someguessedkey' })
    for (const key of [...ACME.keys, ...ZENITH.keys, 'someguessedkey']) expect(fleet.logText.includes(key), key).to.equal(false)
  })

  it('passes key and account fields on unchanged where the configuration has no accounts', async () => {
    fleet.configure(ROUTES)
    await fleet.waitUntil(async () => (await callWith({ authorization: 'Bearer any', [ACCOUNT_HEADER]: 'any' })).status === 200)
    expect([...receivedValues('authorization'), ...receivedValues(ACCOUNT_HEADER)]).to.deep.equal(['Bearer any', 'any'])
  })
})
