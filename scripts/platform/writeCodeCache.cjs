// Runs a bundle until it has started, and writes V8's code cache with the functions that were compiled by then.
const { readFileSync, writeFileSync } = require('node:fs')
const { Script } = require('node:vm')

/** Time until the program has started and has tried to reach its platform, in milliseconds. */
const START_MS = 1500

const [, , bundle] = process.argv
const script = new Script(readFileSync(bundle, 'latin1'), { filename: bundle })
script.runInThisContext()(require)
setTimeout(() => {
  writeFileSync(`${bundle}.cache`, script.createCachedData())
  process.exit(0)
}, START_MS)
