// Bundles each program into one file: programs of the packages into their dist folders, programs of the platform into
// target. With the argument `platform`, only the latter are built.
import { build } from 'esbuild'
import { bundleForPlatform } from './platform/bundle.mjs'

const PROGRAMS = [
  { package: 'pimentoplank', name: 'pimentoplank', entry: 'src/cli/main.ts' },
  { package: 'pimentoplank', name: 'pimentoplank-entry', entry: 'src/entry/main.ts' },
  { package: 'pimentoplank', name: 'pimentoplank-batch', entry: 'src/batch/main.ts' },
  { package: 'pimentoplank', name: 'pimentoplank-controller', entry: 'src/controller/main.ts' },
  { package: 'standins', name: 'standin-platform', entry: 'src/platform/main.ts' },
  { package: 'standins', name: 'standin-engine', entry: 'src/engine/main.ts' },
  { package: 'standins', name: 'standin-service', entry: 'src/service/main.ts' },
  { package: 'standins', name: 'pimentoplank-load', entry: 'src/load/main.ts' },
  { package: 'standins', name: 'demo', entry: 'src/demo/main.ts' },
  { package: 'standins', name: 'bench', entry: 'src/bench/main.ts' },
  { package: 'standins', name: 'capacity', entry: 'src/capacity/main.ts' }
]

const PLATFORM_PROGRAMS = [
  { name: 'pimentoplank-entry', entry: 'platform/src/main.ts' },
  { name: 'pimentoplank-store', entry: 'platform/src/storeMain.ts' }
]

const BANNER = [
  '#!/usr/bin/env node',
  "import { createRequire as __createRequire } from 'node:module';",
  'const require = __createRequire(import.meta.url);'
].join('\n')

async function bundle (entry, outfile) {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: BANNER },
    external: ['dtrace-provider', 'unix-dgram', 'vega', 'vega-lite'],
    sourcemap: 'linked',
    logLevel: 'warning'
  })
}

if (process.argv[2] !== 'platform') {
  for (const { package: name, ...program } of PROGRAMS) {
    await bundle(`packages/${name}/${program.entry}`, `packages/${name}/dist/${program.name}.js`)
  }
}
await Promise.all(PLATFORM_PROGRAMS.map(async ({ name, entry }) => await bundleForPlatform(entry, name)))
