import { JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCRequest } from 'json-rpc-2.0'
import { SeededRandom, SystemClock } from '@lovagehoist/common'
import type { DirectoryEntry } from '@lovagehoist/common'
import { TcpProxy } from '../network/tcpProxy.js'
import type { LinkFault } from '../network/tcpProxy.js'
import { ScriptedPeers } from '../peers/scriptedPeers.js'
import { PlatformStandin } from '../platform/platformStandin.js'
import type { PlatformFaults } from '../platform/platformFaults.js'
import type { TargetBehaviour } from '../target/behaviour.js'
import { TargetStandin } from '../target/targetStandin.js'

/** Seed for a start without a seed argument. */
const DEFAULT_SEED = 1

const clock = SystemClock.create()
const random = SeededRandom.create(Number(process.argv[2] ?? DEFAULT_SEED))
const targets = new Map<string, TargetStandin>()
const proxies = new Map<string, TcpProxy>()
let platform: PlatformStandin | undefined
let peers: ScriptedPeers | undefined

const findTarget = (id: string): TargetStandin => {
  const target = targets.get(id)
  if (target === undefined) throw new Error(`no target ${id} in this host`)
  return target
}

const findPlatform = (): PlatformStandin => {
  if (platform === undefined) throw new Error('no platform in this host')
  return platform
}

const server = new JSONRPCServer()
server.addMethod('startPlatform', async () => {
  platform = await PlatformStandin.create(clock, random)
  return platform.url
})
server.addMethod('register', ({ entry }: { readonly entry: DirectoryEntry }) => { findPlatform().register(entry) })
server.addMethod('registerAll', ({ entries }: { readonly entries: readonly DirectoryEntry[] }) => { findPlatform().registerAll(entries) })
server.addMethod('remove', ({ id }: { readonly id: string }) => { findPlatform().remove(id) })
server.addMethod('setPlatform', ({ faults }: { readonly faults: Partial<PlatformFaults> }) => { findPlatform().setFaults(faults) })
server.addMethod('platformCounts', () => findPlatform().counts())
server.addMethod('startTarget', async ({ id, behaviour }: { readonly id: string, readonly behaviour: Partial<TargetBehaviour> }) => {
  const target = await TargetStandin.create({ id, clock, random, behaviour })
  targets.set(id, target)
  return target.port
})
server.addMethod('setTarget', ({ id, behaviour }: { readonly id: string, readonly behaviour: Partial<TargetBehaviour> }) => { findTarget(id).setBehaviour(behaviour) })
server.addMethod('stopTarget', async ({ id }: { readonly id: string }) => { await findTarget(id).close() })
server.addMethod('journal', ({ id }: { readonly id: string }) => findTarget(id).journal)
server.addMethod('targetCounts', ({ id }: { readonly id: string }) => {
  const target = findTarget(id)
  return { runs: target.journal.length, shed: target.shed, connections: target.connections, lastRequestAtMs: target.lastRequestAtMs }
})
server.addMethod('startPeers', async ({ count, environment }: { readonly count: number, readonly environment: string }) => {
  peers = await ScriptedPeers.create({ clock, random, count, environment })
  return peers.directoryEntries()
})
server.addMethod('sendPeerTraffic', ({ id, port }: { readonly id: string, readonly port: number }) => { peers?.sendTrafficTo(id, port) })
server.addMethod('startProxy', async ({ id, host }: { readonly id: string, readonly host: string }) => {
  const proxy = await TcpProxy.create(clock, host)
  proxies.set(id, proxy)
  return proxy.port
})
server.addMethod('connectProxy', ({ id, host, port }: { readonly id: string, readonly host: string, readonly port: number }) => { proxies.get(id)?.setDestination({ host, port }) })
server.addMethod('setProxyFault', ({ id, sourceHost, fault }: { readonly id: string, readonly sourceHost: string, readonly fault: Partial<LinkFault> }) => { proxies.get(id)?.setFault(sourceHost, fault) })

process.on('message', message => {
  Promise.resolve(server.receive(message as JSONRPCRequest)).then(
    response => { if (response !== null) process.send?.(response) },
    error => { process.stderr.write(`${String(error)}\n`) }
  )
})
process.once('disconnect', () => { process.exit(0) })
