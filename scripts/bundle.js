// Bundles the gateway daemon from its sources, so that startup loads a single script without unused modules, behind a small one that catches signals.
// With --sizes, prints the number of bytes that each package contributes to the bundle.
import { resolve } from 'node:path'
import { build } from 'esbuild'

const PACKAGES = ['common', 'store', 'peers', 'targets', 'callers', 'operators', 'daemon']

const alias = Object.fromEntries([
  ['@lovagehoist/platform', './platform/src/index.ts'],
  ...PACKAGES.map(name => [`@lovagehoist/${name}`, `./packages/${name}/src/index.ts`])
])

/** Replaces undici by the parts that the gateway uses. */
const leanUndici = {
  name: 'lean-undici',
  setup ({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve('scripts/undiciClient.js') }))
  }
}

const common = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', legalComments: 'none', logLevel: 'warning' }

/** Leaves the gateway out of the script that loads it. */
const separateMain = {
  name: 'separate-main',
  setup ({ onResolve }) {
    onResolve({ filter: /^\.\/main\.js$/ }, () => ({ path: './gateway.cjs', external: true }))
  }
}

await build({ ...common, entryPoints: ['packages/daemon/src/gateway/entry.ts'], outfile: 'target/lovagehoistd.cjs', plugins: [separateMain], supported: { 'dynamic-import': false } })

await build({
  ...common,
  entryPoints: ['packages/daemon/src/gateway/main.ts'],
  outfile: 'target/gateway.cjs',
  alias,
  plugins: [leanUndici],
  minifySyntax: true,
  metafile: process.argv.includes('--sizes')
}).then(async result => {
  if (result.metafile === undefined) return
  const inputs = Object.entries(result.metafile.outputs['target/gateway.cjs'].inputs)
  const sizes = new Map()
  for (const [path, { bytesInOutput }] of inputs) {
    const name = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(path)?.[1] ?? 'own'
    sizes.set(name, (sizes.get(name) ?? 0) + bytesInOutput)
  }
  for (const [name, bytes] of [...sizes].sort((a, b) => b[1] - a[1])) process.stdout.write(`${bytes}\t${name}\n`)
})
