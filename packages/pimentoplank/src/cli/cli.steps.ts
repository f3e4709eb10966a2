import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createPlatformStandin, type PlatformStandin } from '@pimentoplank/standins'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { OBJECT_KINDS } from '../shared'

interface CliWorld {
  cliFolder?: string
  cliPlatform: PlatformStandin
  code: number
  output: string
}

/** Built by the test script before the scenarios run. */
const PROGRAM = path.resolve('packages/pimentoplank/dist/pimentoplank.js')
const UNREACHABLE_ADDRESS = '127.0.0.1:9'

async function getFolder (world: CliWorld): Promise<string> {
  world.cliFolder ??= await mkdtemp(path.join(tmpdir(), 'pimentoplank-cli-'))
  return world.cliFolder
}

Given('an operator\'s file {string} with text {string}', async function (this: CliWorld, name: string, text: string) {
  await writeFile(path.join(await getFolder(this), name), text)
})

Given('a platform for the command line', async function (this: CliWorld) {
  this.cliPlatform = createPlatformStandin()
  const { url } = await this.cliPlatform.start()
  const settings = { platform: { url }, peers: { sharedKey: 'a-key-for-tests-only' } }
  await writeFile(path.join(await getFolder(this), 'cli.json'), JSON.stringify(settings))
})

Given('an unreachable instance {string} in its list', function (this: CliWorld, id: string) {
  this.cliPlatform.putInstance({
    id,
    role: 'entry',
    address: UNREACHABLE_ADDRESS,
    peerAddress: UNREACHABLE_ADDRESS,
    failureDomain: 'a',
    region: 'r',
    state: 'live'
  })
})

When('the platform for the command line becomes unavailable', async function (this: CliWorld) {
  await this.cliPlatform.close()
})

When('the operator runs {string}', { timeout: 20_000 }, async function (this: CliWorld, line: string) {
  const cwd = await getFolder(this)
  await new Promise<void>((resolve) => {
    // The Node.js options of the test runner must not apply to the program.
    const env = { ...process.env, NODE_OPTIONS: '' }
    execFile(process.execPath, [PROGRAM, ...line.split(' ')], { cwd, env }, (err, stdout, stderr) => {
      this.code = err === null ? 0 : Number(err.code)
      this.output = stdout + stderr
      resolve()
    })
  })
})

Then('the command line exits with {int} and prints {string}', function (this: CliWorld, code: number, words: string) {
  assert.equal(this.code, code, this.output)
  for (const word of words.split(', ')) assert.ok(this.output.includes(word), `${word} not found in: ${this.output}`)
})

Then('the platform for the command line has {int} release note', function (this: CliWorld, count: number) {
  assert.equal(this.cliPlatform.readAll(OBJECT_KINDS.releaseNote).length, count)
})

After(async function (this: CliWorld) {
  if (this.cliFolder !== undefined) await rm(this.cliFolder, { recursive: true, force: true })
  await this.cliPlatform?.close()
})
