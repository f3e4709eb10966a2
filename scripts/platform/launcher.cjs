// Runs the bundle beside it with the code cache that was built for it. V8 ignores a cache of another version of Node or
// of other flags.
const { existsSync, readFileSync } = require('node:fs')
const { Script } = require('node:vm')

const bundle = __filename.replace(/\.cjs$/, '.bundle')
const cache = `${bundle}.cache`
const script = new Script(readFileSync(bundle, 'latin1'), {
  filename: bundle,
  cachedData: existsSync(cache) ? readFileSync(cache) : undefined
})
script.runInThisContext()(require)
