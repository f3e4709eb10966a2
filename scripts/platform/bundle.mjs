// Bundles a program for the platform's machines. They start it again and again on a fraction of a core, so that it
// holds only what is called, and V8's code cache comes with it.
import { spawnSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { builtinModules } from 'node:module'
import { tmpdir } from 'node:os'
import { resolve } from 'node:path'
import { build } from 'esbuild'
import { parse } from 'smol-toml'

const HERE = import.meta.dirname
/** Modules that dependencies try to load, and do without. */
const OPTIONAL_MODULES = ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support']
const BUILTINS = new RegExp(`^(node:)?(${builtinModules.join('|')})$`)

const usedPartsOfUndici = {
  name: 'used parts of undici',
  setup: ({ onResolve }) => onResolve({ filter: /^undici$/ }, () => ({ path: resolve(HERE, 'undici.cjs') }))
}

/** Leaves no import statements, so that the bundle can be a script: V8 caches no code of modules. */
const requiredBuiltins = {
  name: 'required builtins',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: BUILTINS }, ({ path }) => ({ path, namespace: 'builtin' }))
    onLoad({ filter: /.*/, namespace: 'builtin' }, ({ path }) => (
      { contents: `module.exports = requireBuiltin(${JSON.stringify(path)})` }
    ))
  }
}

/** Bundles the program `entry` into `target/<name>.cjs` and the files beside it. */
export async function bundleForPlatform (entry, name) {
  const bundle = resolve(`target/${name}.bundle`)
  await build({
    entryPoints: [entry],
    outfile: bundle,
    bundle: true,
    platform: 'node',
    target: 'node20',
    // Top-level await works in the async function that wraps the output.
    format: 'esm',
    banner: { js: '(async function (require) { "use strict"; const requireBuiltin = require;' },
    footer: { js: '})' },
    external: OPTIONAL_MODULES,
    plugins: [usedPartsOfUndici, requiredBuiltins],
    minify: true,
    keepNames: true,
    legalComments: 'none',
    logLevel: 'warning'
  })
  copyFileSync(resolve(HERE, 'launcher.cjs'), resolve(`target/${name}.cjs`))
  writeCodeCache(bundle, name)
}

/** V8 takes a cache only with the flags that it was written with. */
function findNodeFlags (name) {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'))
  const { run } = Object.values(roles).find((role) => role.run.endsWith(`${name}.cjs`))
  return run.split(' ').filter((word) => word.startsWith('--'))
}

function writeCodeCache (bundle, name) {
  const folder = mkdtempSync(resolve(tmpdir(), 'pimentoplank-'))
  const settings = resolve(folder, 'settings.toml')
  // Ports are free, nothing serves at the address of the store.
  writeFileSync(settings, `node_name = "build"
ip = "127.0.0.1"
zone = "a"
region = "a"
serves = ["front", "directory"]
internal_port_range = [0, 0]
[listen_addresses]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
directory = "127.0.0.1:0"
[platform_settings]
address = "127.0.0.1:1"
`)
  try {
    const { status, stderr } = spawnSync(
      process.execPath,
      [...findNodeFlags(name), resolve(HERE, 'writeCodeCache.cjs'), bundle],
      { env: { ...process.env, PIMENTOPLANK_SETTINGS: settings }, stdio: ['ignore', 'ignore', 'pipe'] }
    )
    if (status !== 0) throw new Error(`code cache of ${name} could not be written: ${stderr}`)
  } finally {
    rmSync(folder, { recursive: true })
  }
}
