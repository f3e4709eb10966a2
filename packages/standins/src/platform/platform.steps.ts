import assert from 'node:assert/strict'
import { setImmediate } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { ObjectPage, WatchBatch } from 'pimentoplank/shared'
import { createManualClock, type ManualClock } from '../../../pimentoplank/features/support/manualClock'
import type { StandinServer } from '../shared'
import { callJson, type TestResponse } from '../shared/testClient'
import { createPlatformStandin, type PlatformStandin } from '.'

const SECOND_MS = 1000
const HTTP_TOO_MANY = 429

interface PlatformWorld {
  clock: ManualClock
  platform: PlatformStandin
  server: StandinServer
  responses: TestResponse[]
  isConnectionClosed: boolean
  watch: Promise<TestResponse>
}

After(async function (this: Partial<PlatformWorld>) {
  await this.platform?.close()
})

Given('a platform stand-in that allows {int} writes per second', async function (this: PlatformWorld, rate: number) {
  this.clock = createManualClock()
  this.platform = createPlatformStandin({ clock: this.clock, writesPerSecond: rate })
  this.server = await this.platform.start()
  this.responses = []
  this.isConnectionClosed = false
})

Given('the platform stand-in drops the next response', function (this: PlatformWorld) {
  this.platform.setFaults({ loseAnswers: 1 })
})

Given('the instance list of the platform stand-in is one second behind', function (this: PlatformWorld) {
  this.platform.setFaults({ listLagMs: SECOND_MS })
})

async function put (world: PlatformWorld, name: string, ifRevision: number, value: unknown = name): Promise<void> {
  const url = `${world.server.url}/v1/objects/note/${name}`
  await callJson('PUT', url, { value, writeId: `write-${name}`, ifRevision }).then(
    (reply) => world.responses.push(reply),
    () => { world.isConnectionClosed = true })
}

When('the platform stand-in gets a write of {string} at revision {int}',
  async function (this: PlatformWorld, name: string, ifRevision: number) {
    await put(this, name, ifRevision)
  })

When('the platform stand-in gets a write of {int} bytes', async function (this: PlatformWorld, bytes: number) {
  await put(this, 'large', 0, 'x'.repeat(bytes - 2))
})

When('the platform stand-in gets {int} writes at once', async function (this: PlatformWorld, count: number) {
  await Promise.all(Array.from({ length: count }, async (_, index) => await put(this, `item-${index}`, 0)))
})

When('the platform stand-in gets {int} weight transfers at once',
  async function (this: PlatformWorld, count: number) {
    const url = `${this.server.url}/v1/weights/desk-lm/1?mb=1000`
    const transfers = Array.from({ length: count }, async () => this.responses.push(await callJson('GET', url)))
    // The clock does not advance before all have arrived, so that they run concurrently.
    while ((this.platform.getStats().calls._weights?.transfer ?? 0) < count) await setImmediate()
    while (this.responses.length < count) await this.clock.advance(SECOND_MS)
    await Promise.all(transfers)
  })

When('the platform stand-in gets a waiting watch', async function (this: PlatformWorld) {
  this.watch = callJson('GET', `${this.server.url}/v1/watch/note?since=0&waitMs=60000`)
  while (this.platform.getStats().watches === 0) await this.clock.advance(0)
})

When('the platform stand-in compacts its history', function (this: PlatformWorld) {
  this.platform.compact()
})

When('the reads of the platform stand-in become {word}', function (this: PlatformWorld, kind: string) {
  this.platform.setFaults({ staleReads: kind === 'stale' })
})

When('a second passes for the platform stand-in', async function (this: PlatformWorld) {
  this.responses = []
  await this.clock.advance(SECOND_MS)
})

When('an engine is added to the platform stand-in', function (this: PlatformWorld) {
  this.platform.putInstance({
    id: 'engine-1',
    role: 'engine',
    service: 'desk-lm',
    address: '127.0.0.1:1',
    failureDomain: 'rum-a',
    region: 'jo-south',
    state: 'live'
  })
})

Then(/^the platform stand-in answered ((?:\d+(?:, )?)+)$/, function (this: PlatformWorld, statuses: string) {
  assert.equal(this.responses.map((reply) => reply.status).join(', '), statuses)
})

Then('the platform stand-in included the current revision {int} in its last response',
  function (this: PlatformWorld, revision: number) {
    assert.equal((this.responses.at(-1)!.body as { current: { revision: number } }).current.revision, revision)
  })

Then('the platform stand-in closed the connection', function (this: PlatformWorld) {
  assert.equal(this.isConnectionClosed, true)
})

Then('the platform stand-in stores {string}', function (this: PlatformWorld, name: string) {
  assert.deepEqual(this.platform.readAll('note').map((object) => object.name), [name])
})

Then('the watch of the platform stand-in ends with {string}', async function (this: PlatformWorld, name: string) {
  const batch = (await this.watch).body as WatchBatch
  assert.deepEqual(batch.events.map((event) => event.name), [name])
})

Then('the platform stand-in counted 1 watch and 1 put', function (this: PlatformWorld) {
  assert.deepEqual(this.platform.getStats().calls, { note: { watch: 1, put: 1 } })
})

Then('a watch of the platform stand-in from revision 0 must list again', async function (this: PlatformWorld) {
  const reply = await callJson('GET', `${this.server.url}/v1/watch/note?since=0&waitMs=60000`)
  assert.equal((reply.body as WatchBatch).compacted, true)
})

Then('the platform stand-in lists {string}', async function (this: PlatformWorld, names: string) {
  const page = (await callJson('GET', `${this.server.url}/v1/objects/note`)).body as ObjectPage
  assert.equal(page.items.map((item) => item.name).join(', '), names)
})

Then('the platform stand-in lists {string} in pages of {int}',
  async function (this: PlatformWorld, names: string, limit: number) {
    const found: string[] = []
    let after: string | undefined
    do {
      const query = after === undefined ? '' : `&after=${after}`
      const url = `${this.server.url}/v1/objects/note?limit=${limit}${query}`
      const page = (await callJson('GET', url)).body as ObjectPage
      assert.ok(page.items.length <= limit)
      found.push(...page.items.map((item) => item.name))
      after = page.next
    } while (after !== undefined)
    assert.equal(found.join(', '), names)
  })

Then('the platform stand-in rejected {int} of them with 429', function (this: PlatformWorld, count: number) {
  assert.equal(this.responses.filter((reply) => reply.status === HTTP_TOO_MANY).length, count)
  assert.equal(this.platform.getStats().rejected, count)
})

Then('the platform stand-in shows {int} instances', async function (this: PlatformWorld, count: number) {
  const reply = await callJson('GET', `${this.server.url}/v1/instances`)
  assert.equal((reply.body as { instances: unknown[] }).instances.length, count)
})
