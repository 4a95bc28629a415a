import { expect } from 'chai'
import type { ClientAccount, GatewayConfig, GatewayRoute } from '@lovagehoist/common'
import { compareGatewayConfigs } from './compareGatewayConfigs.js'
import { checkGatewayConfig } from './gatewayConfigRules.js'

const route = (name: string, change: Partial<GatewayRoute> = {}): GatewayRoute => ({
  name, host: 'shop.example', pathPrefix: `/${name}/`, isIdempotent: true, timeoutMs: 4_000, objectiveMs: 1_000, priority: 1, weightedServices: [{ service: 's', weight: 1 }], maxAttempts: 2, isPublic: false, ...change
})
const account = (name: string, change: Partial<ClientAccount> = {}): ClientAccount => ({ name, keys: [`secret-${name}`], priority: undefined, requestsPerSecond: 10, burst: 5, ...change })
const config = (change: Partial<GatewayConfig> = {}): GatewayConfig => ({
  version: 1, routes: [route('a')], services: [{ name: 's', maxConnections: 300 }], limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 }, accounts: [account('acme')], ...change
})
const findingsOf = (change: Partial<GatewayConfig>): readonly string[] => checkGatewayConfig(config(change)).map(({ severity, path }) => `${severity} ${path.join('.')}`)

describe('checkGatewayConfig', () => {
  it('accepts what can work', () => {
    expect(findingsOf({})).to.deep.equal([])
    expect(findingsOf({ routes: [route('a'), route('nested', { pathPrefix: '/a/b/' }), route('other-host', { host: 'pay.example', pathPrefix: '/a/' }), route('equal-limits', { timeoutMs: 1_000 })] })).to.deep.equal([])
    expect(findingsOf({ accounts: [account('unlimited', { requestsPerSecond: 0, burst: 0 }), account('one', { burst: 1 })] })).to.deep.equal([])
    expect(findingsOf({ accounts: undefined })).to.deep.equal([])
  })

  it('finds routes that no request can match', () => {
    expect(findingsOf({ routes: [route('a'), route('b', { pathPrefix: '/a/' })] })).to.deep.equal(['error routes.0.pathPrefix'])
    expect(findingsOf({ routes: [route('a', { pathPrefix: '/a' })] })).to.deep.equal(['error routes.0.pathPrefix'])
    expect(findingsOf({ routes: [route('a', { pathPrefix: '/a?b/' })] })).to.deep.equal(['error routes.0.pathPrefix'])
    expect(findingsOf({ routes: [route('a', { host: 'shop.example:8080' })] })).to.deep.equal(['error routes.0.host'])
  })

  it('finds unknown, unused and repeated names', () => {
    expect(findingsOf({ routes: [route('a', { weightedServices: [{ service: 's', weight: 1 }, { service: 't', weight: 1 }] })] })).to.deep.equal(['error routes.0.weightedServices.1.service'])
    expect(findingsOf({ services: [{ name: 's', maxConnections: 1 }, { name: 't', maxConnections: 1 }] })).to.deep.equal(['warning services.1.name'])
    expect(findingsOf({ accounts: [account('acme'), account('acme', { keys: ['other'] })] })).to.deep.equal(['error accounts.1.name'])
  })

  it('finds limits that contradict each other', () => {
    expect(findingsOf({ routes: [route('a', { timeoutMs: 999 })] })).to.deep.equal(['error routes.0.timeoutMs'])
    expect(findingsOf({ routes: [route('a', { weightedServices: [{ service: 's', weight: 0 }] })] })).to.deep.equal(['error routes.0.weightedServices'])
    expect(findingsOf({ accounts: [account('a', { burst: 0.5 }), account('b', { requestsPerSecond: 0 }), account('c', { keys: [] })] })).to.deep.equal(['warning accounts.0.burst', 'warning accounts.1.burst', 'warning accounts.2.keys'])
  })

  it('finds keys that the Authorization field cannot carry', () => {
    expect(findingsOf({ accounts: [account('a', { keys: ['a~b.c+/-_==', 'a secret', 'a=b', 'x'.repeat(513)] })] })).to.deep.equal(['error accounts.0.keys.1', 'error accounts.0.keys.2', 'error accounts.0.keys.3'])
  })

  it('finds keys held twice without printing them', () => {
    const findings = checkGatewayConfig(config({ accounts: [account('a', { keys: ['secret-1', 'secret-1'] }), account('b', { keys: ['secret-1'] })] }))
    expect(findings.map(({ path }) => path.join('.'))).to.deep.equal(['accounts.0.keys.1', 'accounts.1.keys.0'])
    expect(JSON.stringify(findings)).not.to.include('secret')
  })
})

describe('compareGatewayConfigs', () => {
  it('finds entries added, removed and changed, whatever their order', () => {
    const before = config({ routes: [route('a'), route('b'), route('c')] })
    const after = config({ routes: [route('d'), route('c', { timeoutMs: 9_000 }), route('a')], services: [{ name: 's', maxConnections: 200 }] })
    expect(compareGatewayConfigs(before, after)).to.deep.equal([
      { kind: 'route', name: 'b', change: 'removed', fields: [] },
      { kind: 'route', name: 'c', change: 'changed', fields: [{ field: 'timeoutMs', from: 4_000, to: 9_000 }] },
      { kind: 'route', name: 'd', change: 'added', fields: [] },
      { kind: 'service', name: 's', change: 'changed', fields: [{ field: 'maxConnections', from: 300, to: 200 }] }
    ])
    expect(compareGatewayConfigs(before, { ...before, version: 2, routes: [...before.routes].reverse() })).to.deep.equal([])
  })

  it('shows keys only as digests, and that requests need keys from now on', () => {
    const rotated = compareGatewayConfigs(config(), config({ accounts: [account('acme', { keys: ['secret-acme', 'secret-new'], priority: 0 })] }))
    expect(JSON.stringify(rotated)).not.to.include('secret')
    expect(rotated[0]?.fields).to.deep.equal([{ field: 'priority', from: null, to: 0 }, { field: 'keys', from: ['d32afa68'], to: ['aa8a4774', 'd32afa68'] }])
    expect(compareGatewayConfigs(config({ accounts: undefined }), config())).to.deep.equal([
      { kind: 'configuration', name: '', change: 'changed', fields: [{ field: 'requiresKeys', from: false, to: true }] },
      { kind: 'account', name: 'acme', change: 'added', fields: [] }
    ])
  })
})
