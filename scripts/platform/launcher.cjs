// Runs the bundle beside it with the code cache that was built for it. V8 ignores a cache of another version of Node or
// of other flags.
// The default action of SIGHUP ends the process. It asks for a reload of the settings, which the start reads anyway.
process.on('SIGHUP', () => undefined)

const { existsSync, readFileSync } = require('node:fs')
const { Script } = require('node:vm')

const bundle = __filename.replace(/\.cjs$/, '.bundle')
const cache = `${bundle}.cache`
const script = new Script(readFileSync(bundle, 'latin1'), {
  filename: bundle,
  cachedData: existsSync(cache) ? readFileSync(cache) : undefined
})
script.runInThisContext()(require)
