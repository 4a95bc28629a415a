import { copyFile, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { SystemClock, silentLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { encodePacket } from '../wire/codec.js'
import { MAX_MESSAGE_BYTES } from '../wire/messages.js'
import { HttpPeerTransport } from './httpTransport.js'
import type { TlsFilePaths } from './tlsFiles.js'

const HOST = '127.0.0.1'
const TIMEOUT_MS = 5_000
const RELOAD_MS = 12_000
const packet = encodePacket('msgpack', { hello: 1 })

const fixture = (name: string): string => fileURLToPath(new URL(`testFixtures/${name}.pem`, import.meta.url))
const pathsOf = (owner: string, authority = owner): TlsFilePaths =>
  ({ caFile: fixture(`${authority}-ca`), certFile: fixture(`${owner}-cert`), keyFile: fixture(`${owner}-key`) })

describe('HttpPeerTransport', () => {
  const open: HttpPeerTransport[] = []
  const refused: string[] = []
  const create = (tls?: TlsFilePaths, clock = SystemClock.create() as SystemClock | ManualClock): HttpPeerTransport => {
    const transport = HttpPeerTransport.create({ host: HOST, port: 0, clock, log: silentLog, tls, onRefused: reason => { refused.push(reason) } })
    open.push(transport)
    return transport
  }

  afterEach(async () => {
    await Promise.all(open.splice(0).map(async transport => { await transport.close() }))
    refused.length = 0
  })

  it('transfers a packet and its answer in both encodings', async () => {
    const server = create()
    const port = await server.listen(async received => received)
    for (const sent of [packet, encodePacket('json', { hello: 1 })]) {
      const answer = await create().send({ host: HOST, port }, sent, TIMEOUT_MS)
      expect(answer.isOk() && { contentType: answer.value.contentType, body: [...answer.value.body] }).to.deep.equal({ ...sent, body: [...sent.body] })
    }
  })

  it('refuses a message above the size limit without calling the listener', async () => {
    const server = create()
    let calls = 0
    const port = await server.listen(async received => { calls++; return received })
    const answer = await create().send({ host: HOST, port }, { ...packet, body: new Uint8Array(MAX_MESSAGE_BYTES + 1) }, TIMEOUT_MS)
    expect([answer.isErr(), calls, refused]).to.deep.equal([true, 0, ['oversized']])
  })

  it('accepts peers with a certificate of the same CA and refuses others on both sides', async () => {
    const server = create(pathsOf('fleet'))
    let calls = 0
    const port = await server.listen(async received => { calls++; return received })
    const answers = new Map<string, boolean>()
    for (const [name, tls] of Object.entries({ friend: pathsOf('renewed', 'fleet'), stranger: pathsOf('stranger'), unsigned: pathsOf('stranger', 'fleet') })) {
      const client = create(tls)
      await client.listen(async received => received)
      answers.set(name, (await client.send({ host: HOST, port }, packet, TIMEOUT_MS)).isOk())
    }
    const plain = await create().send({ host: HOST, port }, packet, TIMEOUT_MS)
    expect([...answers, plain.isOk(), calls]).to.deep.equal([['friend', true], ['stranger', false], ['unsigned', false], false, 1])
    expect(refused).to.include('stranger')
  })

  it('reloads changed certificate files without a restart', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'lovagehoist-tls-'))
    const paths: TlsFilePaths = { caFile: join(folder, 'ca'), certFile: join(folder, 'cert'), keyFile: join(folder, 'key') }
    const install = async (who: string, authority: string): Promise<void> => {
      await Promise.all([copyFile(fixture(`${authority}-ca`), paths.caFile), copyFile(fixture(`${who}-cert`), paths.certFile), copyFile(fixture(`${who}-key`), paths.keyFile)])
    }
    await install('stranger', 'stranger')
    const clock = ManualClock.create()
    const stop = new AbortController()
    const server = create(paths, clock)
    const port = await server.listen(async received => received)
    const watching = server.run(stop.signal)
    const client = create(pathsOf('fleet'))
    await client.listen(async received => received)
    const before = await client.send({ host: HOST, port }, packet, TIMEOUT_MS)
    await install('renewed', 'fleet')
    let after = before
    for (let attempt = 0; attempt < 20 && after.isErr(); attempt++) {
      await clock.advanceMs(RELOAD_MS)
      after = await client.send({ host: HOST, port }, packet, TIMEOUT_MS)
    }
    stop.abort()
    await watching
    await rm(folder, { recursive: true })
    expect([before.isOk(), after.isOk()]).to.deep.equal([false, true])
  })
})
