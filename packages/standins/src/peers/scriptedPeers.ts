import type { Clock, DirectoryEntry, JsonValue, Random } from '@lovagehoist/common'
import { silentLog } from '@lovagehoist/common'
import { DESCRIPTION_KEY, EntryStore, HttpPeerTransport, SELF_KEY, WIRE_VERSION, decodePacket, encodeDescription, encodePacket, processRefOf, encodeSelfEntry } from '@lovagehoist/peers'
import type { StoredEntry, MessageHead, MethodName, Packet, WireEntry } from '@lovagehoist/peers'

const HOST = '127.0.0.1'
const INBOUND_PEERS = 7
const HEARTBEAT_INTERVAL_MS = 2_000
const REQUEST_TIMEOUT_MS = 1_000
const ENTRY_LIFETIME_MS = 900_000
const LOAD_LIFETIME_MS = 10_000
const LOAD_VALUE = 'x'.repeat(80)
const LOAD_ENTRY_BYTES = 120
const MAX_LOAD_ENTRIES = 60
/** Updated descriptions in each heartbeat: 1,300 promotions a day, each with 470 updates that arrive three times. */
const DESCRIPTIONS_PER_HEARTBEAT = 6
/** Limit of the total size of the entries in the response to a digest. */
const MAX_DIGEST_RESPONSE_BYTES = 9_000
/** Share of the receiver's traffic budget that load entries must leave free. */
const RESERVED_BUDGET_PERCENT = 50
/** One percent of the receiver's budget. */
const BYTES_PER_PERCENT = 360
/** Share of the free budget that one sender may use. */
const SENDER_BUDGET_SHARE = 0.25
const DIGEST_INTERVAL_MS = 9_400
const PRIORITY_CLASSES = { membership: 1, load: 6 } as const

interface ScriptedPeer {
  readonly instanceId: string
  readonly startId: string
  readonly processRef: number
}

/** Dependencies and size of a group of scripted peers. */
export interface ScriptedPeersOptions {
  readonly clock: Clock
  readonly random: Random
  readonly count: number
  readonly environment: string
}

interface RequestBody {
  readonly id: number
  readonly method: MethodName
  readonly params: MessageHead & { readonly hashes?: readonly number[] }
}

/** Exchanges with one real daemon the gossip messages that a large fleet would; the peers have no behaviour beyond these messages. */
export class ScriptedPeers {
  private readonly store: EntryStore
  private readonly scriptedPeers: readonly ScriptedPeer[]
  private readonly transport: HttpPeerTransport
  private port = 0
  private nextId = 1
  private nextSequence = 10
  private freeBudgetPercent = 100

  private constructor (private readonly options: ScriptedPeersOptions) {
    const { clock, count } = options
    this.store = EntryStore.create(clock)
    this.scriptedPeers = Array.from({ length: count }, (_, index) => {
      const [instanceId, startId] = [`scripted-${index}`, `start-of-scripted-${index}-0123456789`.slice(0, 32)]
      return { instanceId, startId, processRef: processRefOf(instanceId, startId) }
    })
    this.transport = HttpPeerTransport.create({ host: HOST, port: 0, clock, log: silentLog, onRefused: () => {} })
  }

  /**
   * Starts the listener that all scripted peers share.
   *
   * @param options - Clock, random numbers, number of peers and environment.
   * @returns The peers.
   */
  static async create (options: ScriptedPeersOptions): Promise<ScriptedPeers> {
    const peers = new ScriptedPeers(options)
    peers.port = await peers.transport.listen(async packet => peers.handleRequest(packet))
    for (const peer of peers.scriptedPeers) peers.publishMembership(peer)
    return peers
  }

  /** Directory entries of the scripted peers. */
  directoryEntries (): readonly DirectoryEntry[] {
    return this.scriptedPeers.map((peer, index) => ({
      id: peer.instanceId, role: 'daemon', service: '', host: HOST, port: this.port, state: 'live', startedAtMs: 0, slots: 0, ...this.locationOf(index)
    }))
  }

  /** Starts to send heartbeats with entries, and digests, to a real daemon. */
  sendTrafficTo (instanceId: string, port: number): void {
    for (const peer of this.scriptedPeers.slice(0, INBOUND_PEERS)) this.repeatEvery(HEARTBEAT_INTERVAL_MS, async () => { await this.sendHeartbeat(peer, instanceId, port) })
    this.repeatEvery(DIGEST_INTERVAL_MS, async () => { await this.sendDigest(instanceId, port) })
  }

  private repeatEvery (periodMs: number, run: () => Promise<void>): void {
    const { clock, random } = this.options
    const repeatForever = async (): Promise<void> => {
      await clock.sleepMs(periodMs * random.next())
      for (;;) {
        await run()
        await clock.sleepMs(periodMs)
      }
    }
    repeatForever().catch(() => {})
  }

  private publishMembership (peer: ScriptedPeer): void {
    const { instanceId, startId } = peer
    const location = this.locationOf(this.scriptedPeers.indexOf(peer))
    this.storeEntry(peer, SELF_KEY, encodeSelfEntry({ instanceId, startId, ...location, host: HOST, port: this.port, epoch: 1 }))
    this.storeEntry(peer, DESCRIPTION_KEY, encodeDescription({ configVersion: 1, configDigest: '0123456789ab', isReady: true }, false))
  }

  private storeEntry (peer: ScriptedPeer, key: string, value: JsonValue): StoredEntry | undefined {
    return this.store.accept([peer.processRef, PRIORITY_CLASSES.membership, key, this.nextSequence++, 0, ENTRY_LIFETIME_MS, value])
  }

  private locationOf (index: number): { readonly region: string, readonly availabilityZone: string } {
    return { region: index % 2 === 0 ? 'local' : 'far', availabilityZone: ['a', 'b', 'c'][index % 3] ?? 'a' }
  }

  private createMessageHead (peer: ScriptedPeer, instanceId: string, startId: string): MessageHead {
    return { version: WIRE_VERSION, environment: this.options.environment, from: [peer.instanceId, peer.startId], to: [instanceId, startId], room: 100 }
  }

  private daemonStartId = ''

  private async sendRequest (peer: ScriptedPeer, instanceId: string, port: number, method: MethodName, content: object): Promise<void> {
    const params = { ...this.createMessageHead(peer, instanceId, this.daemonStartId), ...content }
    const response = await this.transport.send({ host: HOST, port }, encodePacket('msgpack', { jsonrpc: '2.0', id: this.nextId++, method, params }), REQUEST_TIMEOUT_MS)
    const result = response.isErr() ? undefined : (decodePacket(response.value).unwrapOr(undefined) as { readonly result?: MessageHead } | undefined)?.result
    if (result === undefined) return
    this.daemonStartId = result.from[1]
    this.freeBudgetPercent = result.room
  }

  private async sendHeartbeat (peer: ScriptedPeer, instanceId: string, port: number): Promise<void> {
    const entries = this.daemonStartId === '' ? [] : [...this.updateDescriptions(), ...this.createLoadEntries()]
    await this.sendRequest(peer, instanceId, port, 'heartbeat', { heard: this.scriptedPeers.slice(0, 8).map(({ processRef }) => processRef), entries })
  }

  private async sendDigest (instanceId: string, port: number): Promise<void> {
    const peer = this.scriptedPeers[this.options.random.int(INBOUND_PEERS)]
    if (peer !== undefined && this.daemonStartId !== '') await this.sendRequest(peer, instanceId, port, 'digest', { hashes: [...this.store.hashes()].flat() })
  }

  private updateDescriptions (): readonly WireEntry[] {
    return Array.from({ length: DESCRIPTIONS_PER_HEARTBEAT }, () => {
      const peer = this.pickPeer()
      const value = encodeDescription({ configVersion: this.nextSequence, configDigest: '0123456789ab', isReady: true }, false)
      const storedEntry = this.storeEntry(peer, DESCRIPTION_KEY, value)
      return storedEntry === undefined ? [] : [this.store.toWire(storedEntry)]
    }).flat()
  }

  /** Creates load entries, which have the lowest priority, up to the sender's share of the receiver's free budget. */
  private createLoadEntries (): readonly WireEntry[] {
    const freeBytes = Math.max(0, this.freeBudgetPercent - RESERVED_BUDGET_PERCENT) * BYTES_PER_PERCENT * SENDER_BUDGET_SHARE
    const count = Math.min(MAX_LOAD_ENTRIES, Math.floor(freeBytes / LOAD_ENTRY_BYTES))
    return Array.from({ length: count }, (): WireEntry => [this.pickPeer().processRef, PRIORITY_CLASSES.load, 'load', this.nextSequence++, 0, LOAD_LIFETIME_MS, LOAD_VALUE])
  }

  private pickPeer (): ScriptedPeer {
    return this.scriptedPeers[this.options.random.int(this.scriptedPeers.length)] ?? { instanceId: '', startId: '', processRef: 0 }
  }

  private handleRequest (packet: Packet): Packet | undefined {
    const { id, method, params } = decodePacket(packet).unwrapOr(undefined) as RequestBody
    const peer = this.scriptedPeers.find(({ instanceId }) => instanceId === params.to[0])
    if (peer === undefined) return undefined
    const ownEntries = this.store.repairedEntriesOf(peer.processRef).map(entry => this.store.toWire(entry))
    const createContent: Readonly<Record<MethodName, () => object>> = {
      heartbeat: () => ({ heard: this.scriptedPeers.slice(0, 8).map(({ processRef }) => processRef), entries: params.to[1] === '' ? ownEntries : [], isKnown: true }),
      digest: () => ({ entries: this.findMissingEntries(params.hashes ?? []), wanted: [] }),
      ask: () => ({ isReached: true }),
      call: () => ({ value: null })
    }
    const result = { ...this.createMessageHead(peer, params.from[0], params.from[1]), ...createContent[method]() }
    return encodePacket('msgpack', { jsonrpc: '2.0', id, result })
  }

  private findMissingEntries (hashes: readonly number[]): readonly WireEntry[] {
    const knownHashes = new Map<number, number>()
    for (let index = 0; index + 1 < hashes.length; index += 2) knownHashes.set(hashes[index] ?? 0, hashes[index + 1] ?? 0)
    const differing = [...this.store.hashes()].filter(([ref, hash]) => knownHashes.get(ref) !== hash).flatMap(([ref]) => this.store.repairedEntriesOf(ref))
    let bytes = 0
    return differing.filter(entry => (bytes += entry.bytes) <= MAX_DIGEST_RESPONSE_BYTES).map(entry => this.store.toWire(entry))
  }
}
