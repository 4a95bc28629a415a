import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { main } from './main.js'

const settingsWithAdminPort = (port: number): string => JSON.stringify({
  instance: { id: 'daemon-0', region: 'local', availabilityZone: 'a' },
  environment: 'production',
  callers: { host: '127.0.0.1', port: 0 },
  admin: { host: '127.0.0.1', port },
  peers: { host: '127.0.0.1', port: 0 },
  platform: { tableUrl: 'http://127.0.0.1:1/t', objectsUrl: 'http://127.0.0.1:1/o', directoryUrl: 'http://127.0.0.1:1/d' }
})

describe('lovagehoistd', () => {
  const folder = mkdtempSync(join(tmpdir(), 'lovagehoistd-'))
  const originalWrite = process.stderr.write.bind(process.stderr)
  let stderrText = ''

  const run = async (text: string): Promise<number> => {
    const file = join(folder, 'daemon.jsonc')
    writeFileSync(file, text)
    stderrText = ''
    process.stderr.write = ((chunk: string) => {
      stderrText += chunk
      return true
    }) as typeof process.stderr.write
    try {
      return await main(['node', 'lovagehoistd', '--settings', file])
    } finally {
      process.stderr.write = originalWrite
    }
  }

  after(() => { rmSync(folder, { recursive: true }) })

  it('refuses to start with invalid settings and names the field to change', async () => {
    expect(await run('{ "instance": { "id": "daemon-0", "colour": 1 } }')).to.equal(2)
    expect(stderrText).to.match(/daemon\.jsonc:1:\d+: instance\.colour: expected no such field/)
  })

  it('exits with code 3 when a port is in use', async () => {
    const occupant = createServer()
    await new Promise<void>(resolve => { occupant.listen(0, '127.0.0.1', resolve) })
    const { port } = occupant.address() as AddressInfo
    expect(await run(settingsWithAdminPort(port))).to.equal(3)
    expect(stderrText).to.include(`admin: 127.0.0.1 port ${port} can't be listened on (EADDRINUSE)`)
    occupant.close()
  })
})
