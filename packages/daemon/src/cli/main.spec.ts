import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { main } from './main.js'

const settingsOf = (port: number): string => JSON.stringify({
  instance: { id: 'daemon-0', region: 'local', availabilityZone: 'a' },
  environment: 'production',
  callers: { host: '127.0.0.1', port: 0 },
  admin: { host: '127.0.0.1', port },
  peers: { host: '127.0.0.1', port: 0 },
  platform: { tableUrl: 'http://127.0.0.1:1/t', objectsUrl: 'http://127.0.0.1:1/o', directoryUrl: 'http://127.0.0.1:1/d' }
})

describe('lovagehoistd', () => {
  const folder = mkdtempSync(join(tmpdir(), 'lovagehoistd-'))
  const write = process.stderr.write.bind(process.stderr)
  let printed = ''

  const run = async (text: string): Promise<number> => {
    const file = join(folder, 'daemon.jsonc')
    writeFileSync(file, text)
    printed = ''
    process.stderr.write = ((chunk: string) => {
      printed += chunk
      return true
    }) as typeof process.stderr.write
    try {
      return await main(['node', 'lovagehoistd', '--settings', file])
    } finally {
      process.stderr.write = write
    }
  }

  after(() => { rmSync(folder, { recursive: true }) })

  it('does not start with wrong settings and says what to change', async () => {
    expect(await run('{ "instance": { "id": "daemon-0", "colour": 1 } }')).to.equal(2)
    expect(printed).to.match(/daemon\.jsonc:1:\d+: instance\.colour: expected no such field/)
  })

  it('ends with a code of its own when a port is in use', async () => {
    const holder = createServer()
    await new Promise<void>(resolve => { holder.listen(0, '127.0.0.1', resolve) })
    const { port } = holder.address() as AddressInfo
    expect(await run(settingsOf(port))).to.equal(3)
    expect(printed).to.include(`admin: 127.0.0.1 port ${port} can't be listened on (EADDRINUSE)`)
    holder.close()
  })
})
