import { execFile } from 'node:child_process'
import { chmod, mkdir, mkdtemp, readFile, rm, utimes, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { expect } from 'chai'

const DEPLOYMENT_FILE = fileURLToPath(new URL('../../../../deploy/system.toml', import.meta.url))
/** Stand-in of npm: installs packages for this machine. */
const NPM = '#!/bin/sh\necho "npm $*" >> calls\nmkdir -p node_modules && touch node_modules/for-this-machine\n'
/** Stand-in of Node.js: the bundler runs only with packages for this machine. */
const NODE = '#!/bin/sh\necho "node $*" >> calls\n[ -e node_modules/for-this-machine ] && [ ! -e broken ]\n'
/** Unix time of packages that are newer than the lock file. */
const INSTALLED_AT_SECONDS = 4_000_000_000

/** Guards against a system that does not start because its build keeps packages that another machine installed. */
describe('the build command of the deployment file', () => {
  let folder: string
  let build: string

  const run = async (): Promise<{ readonly hasPassed: boolean, readonly calls: readonly string[] }> => {
    const hasPassed = await promisify(execFile)('/bin/sh', ['-c', build], { cwd: folder, env: { PATH: `${folder}:/usr/bin:/bin` } }).then(() => true, () => false)
    return { hasPassed, calls: (await readFile(join(folder, 'calls'), 'utf8')).trim().split('\n').map(line => line.slice(0, line.indexOf(' ') + 3)) }
  }
  const install = async (): Promise<void> => {
    await mkdir(join(folder, 'node_modules'))
    await utimes(join(folder, 'node_modules'), INSTALLED_AT_SECONDS, INSTALLED_AT_SECONDS)
  }

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'build-'))
    build = /^build = "(.*)"$/m.exec(await readFile(DEPLOYMENT_FILE, 'utf8'))?.[1] ?? ''
    for (const [name, text] of Object.entries({ npm: NPM, node: NODE })) {
      await writeFile(join(folder, name), text)
      await chmod(join(folder, name), 0o755)
    }
    await writeFile(join(folder, 'package-lock.json'), '')
  })

  afterEach(async () => { await rm(folder, { recursive: true, force: true }) })

  it('installs packages where there are none', async () => {
    expect(await run()).to.deep.equal({ hasPassed: true, calls: ['npm ci', 'node sc'] })
  })

  it('keeps installed packages that work', async () => {
    await install()
    await writeFile(join(folder, 'node_modules/for-this-machine'), '')
    await utimes(join(folder, 'node_modules'), INSTALLED_AT_SECONDS, INSTALLED_AT_SECONDS)
    expect(await run()).to.deep.equal({ hasPassed: true, calls: ['node sc'] })
  })

  it('installs packages again that do not work on this machine', async () => {
    await install()
    expect(await run()).to.deep.equal({ hasPassed: true, calls: ['node sc', 'npm ci', 'node sc'] })
  })

  it('fails when the program cannot be built', async () => {
    await writeFile(join(folder, 'broken'), '')
    expect((await run()).hasPassed).to.equal(false)
  })
})
