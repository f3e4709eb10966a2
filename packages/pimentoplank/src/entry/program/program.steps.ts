import assert from 'node:assert/strict'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { After, Then, When } from '@cucumber/cucumber'
import { request } from 'undici'

const PROGRAM = fileURLToPath(new URL('../../../dist/pimentoplank-entry.js', import.meta.url))
const SLOW_STEP = { timeout: 20_000 }
/** URL of a loopback port on which nothing listens. */
const UNREACHABLE_URL = 'http://127.0.0.1:9'

interface ProgramWorld {
  settingsFolder: string
  child: ChildProcess
  stderr: string
  address: Promise<string>
  exited: Promise<number | null>
  otherServer?: Server
}

function createSettings (changes: object = {}): object {
  return {
    instance: { id: 'entry-1', failureDomain: 'rum-a', region: 'jo-south' },
    platform: { url: UNREACHABLE_URL, timeoutMs: 200 },
    peers: { sharedKey: 'a-shared-key-of-tests' },
    listen: { port: 0 },
    directory: { maxAgeMs: 1 },
    ...changes
  }
}

function run (world: ProgramWorld, file: string): void {
  const child = spawn(process.execPath, [PROGRAM, '--config', file], { stdio: ['ignore', 'pipe', 'pipe'] })
  world.child = child
  world.stderr = ''
  child.stderr!.on('data', (text) => { world.stderr += text })
  world.exited = new Promise((resolve) => child.once('close', resolve))
  world.address = new Promise((resolve) => {
    createInterface({ input: child.stdout! }).on('line', (line) => {
      const { address } = JSON.parse(line)
      if (address !== undefined) resolve(address)
    })
  })
}

async function runWithSettings (world: ProgramWorld, content: object): Promise<void> {
  world.settingsFolder = await mkdtemp(path.join(tmpdir(), 'entry-program-'))
  const file = path.join(world.settingsFolder, 'entry.json')
  await writeFile(file, JSON.stringify(content))
  run(world, file)
}

When('the entry program runs with a settings file that does not exist', function (this: ProgramWorld) {
  run(this, '/nonexistent/entry.json')
})

When('the entry program runs with settings that miss the peers, have a wrong port and an unknown key', async function (
  this: ProgramWorld
) {
  await runWithSettings(this, createSettings({ peers: undefined, listen: { port: 'http' }, surprise: 1 }))
})

When('the entry program runs with the address of another server', async function (this: ProgramWorld) {
  const other = createServer()
  this.otherServer = other
  await new Promise<void>((resolve) => other.listen(0, '127.0.0.1', () => resolve()))
  await runWithSettings(this, createSettings({ listen: { port: (other.address() as AddressInfo).port } }))
})

When('the entry program runs without a platform', async function (this: ProgramWorld) {
  await runWithSettings(this, createSettings())
})

When('the entry program gets SIGTERM', function (this: ProgramWorld) {
  this.child.kill('SIGTERM')
})

Then('the entry program listens and refuses a request as starting, with a retry delay', SLOW_STEP, async function (
  this: ProgramWorld
) {
  const address = await this.address
  const res = await request(`http://${address}/v1/instances`, { headers: { authorization: 'Bearer any' } })
  const problem = await res.body.json() as { reason: string, outcome: string }
  assert.deepEqual([res.statusCode, problem.reason, problem.outcome], [503, 'starting', 'not_run'])
  assert.ok(Number(res.headers['retry-after']) >= 1)
})

Then('the entry program ends with status {int}', SLOW_STEP, async function (this: ProgramWorld, status: number) {
  assert.equal(await this.exited, status, this.stderr)
})

Then(/^the entry program ends with status (\d+) and names (.+)$/, SLOW_STEP, async function (
  this: ProgramWorld, status: string, names: string
) {
  assert.equal(await this.exited, Number(status), this.stderr)
  const expected = names === 'the file' ? ['/nonexistent/entry.json'] : names.split(/, | and /)
  for (const name of expected) assert.ok(this.stderr.includes(name), this.stderr)
})

After({ tags: '@entryProgram' }, async function (this: Partial<ProgramWorld>) {
  this.child?.kill('SIGKILL')
  this.otherServer?.close()
  if (this.settingsFolder !== undefined) await rm(this.settingsFolder, { recursive: true })
})
