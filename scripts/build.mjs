// Bundles each program into one file under its package's dist folder.
import { build } from 'esbuild'

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

const BANNER = [
  '#!/usr/bin/env node',
  "import { createRequire as __createRequire } from 'node:module';",
  'const require = __createRequire(import.meta.url);'
].join('\n')

for (const program of PROGRAMS) {
  await build({
    entryPoints: [`packages/${program.package}/${program.entry}`],
    outfile: `packages/${program.package}/dist/${program.name}.js`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    sourcemap: 'linked',
    banner: { js: BANNER },
    external: ['dtrace-provider', 'unix-dgram', 'vega', 'vega-lite'],
    logLevel: 'warning'
  })
}
