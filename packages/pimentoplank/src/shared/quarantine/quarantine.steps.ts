import assert from 'node:assert/strict'
import { setImmediate as turn } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createPlatformStandin, type PlatformStandin } from '@pimentoplank/standins'
import type { ResultAsync } from 'neverthrow'
import { createQuarantine, type Quarantine } from '.'
import { createSystemClock, type Clock } from '../clock'
import { createSilentLog } from '../logging'
import { createInMemoryMetrics } from '../metrics'
import { createPlatformClient, type PlatformClient } from '../platform'

interface QuarantineWorld {
  platform: PlatformStandin
  client: PlatformClient
  instances: Quarantine[]
  /** Calls of the instances to the platform that have not ended. */
  platformCalls: Set<Promise<void>>
  /** Time set by the steps, in milliseconds. */
  passedMs: number
}

Given('a crash quarantine on {int} instances', async function (this: QuarantineWorld, count: number) {
  this.passedMs = 0
  this.platform = createPlatformStandin()
  const { url } = await this.platform.start()
  this.client = createPlatformClient({ url })
  this.platformCalls = new Set()
  const { sleep } = createSystemClock()
  const clock: Clock = { now: () => this.passedMs, wallTime: () => this.passedMs, sleep }
  this.instances = Array.from({ length: count }, () => createQuarantine({
    platform: {
      put: (...args) => track(this, this.client.put(...args)),
      remove: (...args) => track(this, this.client.remove(...args))
    },
    feed: {
      objects: (kind) => new Map(this.platform.readAll(kind).map((object) => [object.name, object])),
      offer: () => undefined
    },
    clock,
    metrics: createInMemoryMetrics(),
    log: createSilentLog()
  }))
})

function track<Value, Failure> (
  { platformCalls }: QuarantineWorld, call: ResultAsync<Value, Failure>
): ResultAsync<Value, Failure> {
  const ended = Promise.resolve(call).then(() => { platformCalls.delete(ended) })
  platformCalls.add(ended)
  return call
}

/** Waits until all calls to the platform have ended, and those that they led to. */
async function waitForPlatform ({ platformCalls }: QuarantineWorld): Promise<void> {
  while (platformCalls.size > 0) {
    await Promise.all(platformCalls)
    await turn()
  }
}

async function crash (quarantine: Quarantine, content: string, target: string): Promise<void> {
  const end = quarantine.trackRun(content, target)
  await quarantine.recordCrash(content, target)
  end()
}

When('target {word} crashes with content {word} on crash instance {int}', async function (
  this: QuarantineWorld, target: string, content: string, index: number
) {
  await crash(this.instances[index]!, content, target)
})

When('content {word} and content {word} run on target {word} when it crashes', async function (
  this: QuarantineWorld, first: string, second: string, target: string
) {
  const quarantine = this.instances[0]!
  const ends = [first, second].map((content) => quarantine.trackRun(content, target))
  await Promise.all([first, second].map(async (content) => await quarantine.recordCrash(content, target)))
  for (const end of ends) end()
})

When('{int} s pass for the crash quarantine', function (this: QuarantineWorld, seconds: number) {
  this.passedMs += seconds * 1000
})

Given('the platform of the crash quarantine is down', function (this: QuarantineWorld) {
  this.platform.setFaults({ down: true })
})

Then('content {word} is only suspect', function (this: QuarantineWorld, content: string) {
  assert.deepEqual(this.instances.map((instance) => instance.isQuarantined(content)), [false, false])
})

Then('content {word} is quarantined on both crash instances', function (this: QuarantineWorld, content: string) {
  assert.deepEqual(this.instances.map((instance) => instance.isQuarantined(content)), [true, true])
})

Then('content {word} is quarantined on crash instance {int}', function (
  this: QuarantineWorld, content: string, index: number
) {
  assert.equal(this.instances[index]!.isQuarantined(content), true)
})

Given('prompts with the parts {word} and {word} of their own crash {int} targets, {int} s apart', async function (
  this: QuarantineWorld, first: string, second: string, count: number, pauseS: number
) {
  for (let index = 0; index < count; index++) {
    this.passedMs += pauseS * 1000
    await this.instances[index % 2]!.recordCrash(`prompt-${index}`, `target-${index}`, [first, second])
  }
})

Then('prompts with the parts {word} and {word} are {word} on both crash instances', function (
  this: QuarantineWorld, first: string, second: string, outcome: 'refused' | 'answered'
) {
  const isRefused = outcome === 'refused'
  const found = this.instances.map((instance) => instance.isQuarantined('another prompt', [first, second]))
  assert.deepEqual(found, [isRefused, isRefused])
})

async function countProbes ({ instances }: QuarantineWorld, parts: string[], requests: number): Promise<number> {
  const claims = Array.from({ length: requests }, async (_, index) =>
    await instances[index % 2]!.claimProbe(`probing prompt ${index}`, parts))
  return (await Promise.all(claims)).filter(Boolean).length
}

Then('no request with the parts {word} and {word} may probe', async function (
  this: QuarantineWorld, first: string, second: string
) {
  assert.equal(await countProbes(this, [first, second], 2), 0)
})

Then('one of {int} requests with the parts {word} and {word} may probe', async function (
  this: QuarantineWorld, requests: number, first: string, second: string
) {
  assert.equal(await countProbes(this, [first, second], requests), 1)
})

Then('content {word} with the parts {word} and {word} may not probe', async function (
  this: QuarantineWorld, content: string, first: string, second: string
) {
  assert.equal(await this.instances[0]!.claimProbe(content, [first, second]), false)
})

When('the answer to a prompt with the parts {word} and {word} begins on crash instance {int}', async function (
  this: QuarantineWorld, first: string, second: string, index: number
) {
  this.instances[index]!.recordAnswer([first, second])
  assert.ok(this.platformCalls.size > 0, 'the answer led to no call to the platform')
  await waitForPlatform(this)
})

After({ tags: '@crashQuarantine' }, async function (this: Partial<QuarantineWorld>) {
  await this.client?.close()
  await this.platform?.close()
})
