import { AccountAllowances } from '@lovagehoist/callers'
import type { GatewayConfig, InstanceRecord } from '@lovagehoist/common'
import type { RelayNode } from '@lovagehoist/peers'
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { GatewayDependencies } from './gatewayComponents.js'

/**
 * Creates the allowances of client accounts.
 *
 * @param dependencies - Settings, clock and randomness.
 * @param self - Record of this daemon.
 * @param relay - Exchange between daemons, which also tells this daemon's role.
 * @param config - Configuration in force.
 */
export const createAllowances = ({ settings, liveSettings, clock, random, log }: GatewayDependencies, { startId, availabilityZone }: InstanceRecord, relay: () => RelayNode, config: () => GatewayConfig | undefined): AccountAllowances =>
  AccountAllowances.create({
    clock,
    random,
    log: log.child('accounts'),
    startId,
    availabilityZone,
    role: {
      relayRank: () => relay().relayRank,
      zones: () => settings.availabilityZones,
      zoneSilenceMs: zone => relay().peers.zoneSilenceMs(zone),
      viewAgeMs: () => relay().viewAgeMs,
      knownDaemons: () => relay().peers.size,
      zoneDaemons: () => ({ known: relay().peers.zoneSize, heard: relay().peers.heardInZone().length })
    },
    accounts: () => config()?.accounts,
    bounds: () => liveSettings.current().bounds.quota
  })

/**
 * Registers metrics of the quotas; the number of label values is bounded by the summary.
 *
 * @param registry - Registry.
 * @param allowances - Allowances of client accounts.
 */
export const registerAllowanceMetrics = (registry: Registry, allowances: Pick<AccountAllowances, 'summarize'>): void => {
  const registers = [registry]
  const refused: Counter<'account'> = new Counter({
    name: 'lovagehoist_account_refusals_total',
    help: 'Requests refused by this daemon since their account was over its quota; accounts beyond the first 64 together.',
    labelNames: ['account'],
    registers,
    collect: () => {
      refused.reset()
      for (const [account, count] of allowances.summarize().refused) refused.inc({ account }, count)
    }
  })
  const fraction: Gauge<'account'> = new Gauge({
    name: 'lovagehoist_account_admitted_fraction',
    help: 'Share of the requests that daemons admit, by limited account; the 20 of highest demand, at relays only.',
    labelNames: ['account'],
    registers,
    collect: () => {
      fraction.reset()
      for (const limited of allowances.summarize().limited) fraction.set({ account: limited.account }, limited.fraction)
    }
  })
  const count: Gauge = new Gauge({ name: 'lovagehoist_accounts_limited', help: 'Accounts of which this daemon refuses a share of the requests.', registers, collect: () => { count.set(allowances.summarize().limitedCount) } })
  const local: Gauge = new Gauge({ name: 'lovagehoist_account_quota_local', help: 'Whether this daemon applies its own share of the quotas since it hears no relay.', registers, collect: () => { local.set(Number(allowances.summarize().isLocal)) } })
}
