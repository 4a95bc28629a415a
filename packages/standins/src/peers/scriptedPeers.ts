import type { Clock, DirectoryEntry, JsonValue, Random } from '@lovagehoist/common'
import { silentLog } from '@lovagehoist/common'
import { DESCRIPTION_KEY, EntryStore, HttpPeerTransport, SELF_KEY, WIRE_VERSION, decodePacket, encodeDescription, encodePacket, processRefOf, encodeSelfEntry } from '@lovagehoist/peers'
import type { StoredEntry, MessageHead, MethodName, Packet, WireEntry } from '@lovagehoist/peers'

const HOST = '127.0.0.1'
const IN_PARTNERS = 7
const HEARTBEAT_MS = 2_000
const TIMEOUT_MS = 1_000
const LIFETIME_MS = 900_000
const BULK_LIFETIME_MS = 10_000
const BULK_VALUE = 'x'.repeat(80)
const BULK_BYTES = 120
const MAX_BULK = 60
/** Descriptions that change in one heartbeat: 470 for each of 1,300 promotions a day, each received three times. */
const DESCRIPTIONS = 6
/** Bytes of entries in the answer to a digest, at most. */
const ANSWER_BYTES = 9_000
/** Part of the receiver's room that bulk may fill, and what one percent of room is. */
const BULK_RESERVED_PERCENT = 50
const BYTES_PER_PERCENT = 360
const SENDER_SHARE = 0.25
const REPAIR_MS = 9_400
const CLASS_NUMBERS = { membership: 1, load: 6 } as const

interface Script {
  readonly instanceId: string
  readonly startId: string
  readonly ref: number
}

/** What scripted peers need. */
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

/** Answers and sends to one real daemon what many others would; no daemon is simulated beyond its messages. */
export class ScriptedPeers {
  private readonly store: EntryStore
  private readonly scripts: readonly Script[]
  private readonly transport: HttpPeerTransport
  private port = 0
  private nextId = 1
  private nextSequence = 10
  private room = 100

  private constructor (private readonly options: ScriptedPeersOptions) {
    const { clock, count } = options
    this.store = EntryStore.create(clock)
    this.scripts = Array.from({ length: count }, (_, index) => {
      const [instanceId, startId] = [`scripted-${index}`, `start-of-scripted-${index}-0123456789`.slice(0, 32)]
      return { instanceId, startId, ref: processRefOf(instanceId, startId) }
    })
    this.transport = HttpPeerTransport.create({ host: HOST, port: 0, clock, log: silentLog, onRefused: () => {} })
  }

  /**
   * Starts the peers' common listener.
   *
   * @param options - Time, randomness, number of peers and environment.
   * @returns The peers.
   */
  static async create (options: ScriptedPeersOptions): Promise<ScriptedPeers> {
    const peers = new ScriptedPeers(options)
    peers.port = await peers.transport.listen(async packet => peers.answer(packet))
    for (const script of peers.scripts) peers.introduce(script)
    return peers
  }

  /** Entries of the platform's list. */
  listed (): readonly DirectoryEntry[] {
    return this.scripts.map((script, index) => ({
      id: script.instanceId, role: 'daemon', service: '', host: HOST, port: this.port, state: 'live', startedAtMs: 0, slots: 0, ...this.placeOf(index)
    }))
  }

  /** Begins to send heartbeats, entries and digests to a real daemon. */
  talkTo (instanceId: string, port: number): void {
    for (const script of this.scripts.slice(0, IN_PARTNERS)) this.loop(HEARTBEAT_MS, async () => { await this.beat(script, instanceId, port) })
    this.loop(REPAIR_MS, async () => { await this.compare(instanceId, port) })
  }

  private loop (periodMs: number, run: () => Promise<void>): void {
    const { clock, random } = this.options
    const repeat = async (): Promise<void> => {
      await clock.sleepMs(periodMs * random.next())
      for (;;) {
        await run()
        await clock.sleepMs(periodMs)
      }
    }
    repeat().catch(() => {})
  }

  private introduce (script: Script): void {
    const { instanceId, startId } = script
    const place = this.placeOf(this.scripts.indexOf(script))
    this.put(script, SELF_KEY, encodeSelfEntry({ instanceId, startId, ...place, host: HOST, port: this.port, epoch: 1 }))
    this.put(script, DESCRIPTION_KEY, encodeDescription({ configVersion: 1, configDigest: '0123456789ab', isReady: true }, false))
  }

  private put (script: Script, key: string, value: JsonValue): StoredEntry | undefined {
    return this.store.accept([script.ref, CLASS_NUMBERS.membership, key, this.nextSequence++, 0, LIFETIME_MS, value])
  }

  private placeOf (index: number): { readonly region: string, readonly availabilityZone: string } {
    return { region: index % 2 === 0 ? 'local' : 'far', availabilityZone: ['a', 'b', 'c'][index % 3] ?? 'a' }
  }

  private head (script: Script, instanceId: string, startId: string): MessageHead {
    return { version: WIRE_VERSION, environment: this.options.environment, from: [script.instanceId, script.startId], to: [instanceId, startId], room: 100 }
  }

  private startId = ''

  private async request (script: Script, instanceId: string, port: number, method: MethodName, content: object): Promise<void> {
    const params = { ...this.head(script, instanceId, this.startId), ...content }
    const answer = await this.transport.send({ host: HOST, port }, encodePacket('msgpack', { jsonrpc: '2.0', id: this.nextId++, method, params }), TIMEOUT_MS)
    const result = answer.isErr() ? undefined : (decodePacket(answer.value).unwrapOr(undefined) as { readonly result?: MessageHead } | undefined)?.result
    if (result === undefined) return
    this.startId = result.from[1]
    this.room = result.room
  }

  private async beat (script: Script, instanceId: string, port: number): Promise<void> {
    const entries = this.startId === '' ? [] : [...this.changes(), ...this.bulk()]
    await this.request(script, instanceId, port, 'heartbeat', { heard: this.scripts.slice(0, 8).map(({ ref }) => ref), entries })
  }

  private async compare (instanceId: string, port: number): Promise<void> {
    const script = this.scripts[this.options.random.int(IN_PARTNERS)]
    if (script !== undefined && this.startId !== '') await this.request(script, instanceId, port, 'digest', { hashes: [...this.store.hashes()].flat() })
  }

  private changes (): readonly WireEntry[] {
    return Array.from({ length: DESCRIPTIONS }, () => {
      const script = this.drawScript()
      const value = encodeDescription({ configVersion: this.nextSequence, configDigest: '0123456789ab', isReady: true }, false)
      const held = this.put(script, DESCRIPTION_KEY, value)
      return held === undefined ? [] : [this.store.toWire(held)]
    }).flat()
  }

  /** Entries of the last class, as many as a sender may put into the receiver's room. */
  private bulk (): readonly WireEntry[] {
    const freeBytes = Math.max(0, this.room - BULK_RESERVED_PERCENT) * BYTES_PER_PERCENT * SENDER_SHARE
    const count = Math.min(MAX_BULK, Math.floor(freeBytes / BULK_BYTES))
    return Array.from({ length: count }, (): WireEntry => [this.drawScript().ref, CLASS_NUMBERS.load, 'load', this.nextSequence++, 0, BULK_LIFETIME_MS, BULK_VALUE])
  }

  private drawScript (): Script {
    return this.scripts[this.options.random.int(this.scripts.length)] ?? { instanceId: '', startId: '', ref: 0 }
  }

  private answer (packet: Packet): Packet | undefined {
    const { id, method, params } = decodePacket(packet).unwrapOr(undefined) as RequestBody
    const script = this.scripts.find(({ instanceId }) => instanceId === params.to[0])
    if (script === undefined) return undefined
    const own = this.store.repairedEntriesOf(script.ref).map(entry => this.store.toWire(entry))
    const contents: Readonly<Record<MethodName, () => object>> = {
      heartbeat: () => ({ heard: this.scripts.slice(0, 8).map(({ ref }) => ref), entries: params.to[1] === '' ? own : [], isKnown: true }),
      digest: () => ({ entries: this.missing(params.hashes ?? []), wanted: [] }),
      ask: () => ({ isReached: true }),
      call: () => ({ value: null })
    }
    const result = { ...this.head(script, params.from[0], params.from[1]), ...contents[method]() }
    return encodePacket('msgpack', { jsonrpc: '2.0', id, result })
  }

  private missing (hashes: readonly number[]): readonly WireEntry[] {
    const known = new Map<number, number>()
    for (let index = 0; index + 1 < hashes.length; index += 2) known.set(hashes[index] ?? 0, hashes[index + 1] ?? 0)
    const differing = [...this.store.hashes()].filter(([ref, hash]) => known.get(ref) !== hash).flatMap(([ref]) => this.store.repairedEntriesOf(ref))
    let bytes = 0
    return differing.filter(entry => (bytes += entry.bytes) <= ANSWER_BYTES).map(entry => this.store.toWire(entry))
  }
}
