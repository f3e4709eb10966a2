import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createServiceStandin } from '@pimentoplank/standins'
import { OBJECT_KINDS } from '../../shared'
import type { Reply, SendOptions } from '../testing/entryBench'
import type { EntryWorld } from '../testing/entryBench.steps'
import { waitUntil } from '../testing/waitUntil'

const PATH = '/services/bookings/bookings'
const KEY = 'camel string 7'
const BODY = { route: 'Burdah', camels: 5 }
const ONCE = { 'x-no-repeat': 'true', 'idempotency-key': KEY }

interface OnceWorld extends EntryWorld {
  first: Reply
  gateId: string
  caller: AbortController
}

async function sendBooking (world: EntryWorld, options: SendOptions = {}): Promise<Reply> {
  return await world.bench.send(PATH, { method: 'POST', body: BODY, headers: ONCE, ...options })
}

function listRuns ({ bench }: EntryWorld): number {
  return bench.services.flatMap((service) => service.getRuns()).length
}

Given('the booking service drops the answer of the next run', async function (this: OnceWorld) {
  // The second target makes a faulty second dispatch visible: without it, there would be nowhere to send it.
  const second = createServiceStandin({ id: 'service-1' })
  await second.start()
  this.bench.services.push(second)
  this.bench.membership.set([...this.bench.services.map((service) => service.getInstanceRecord())])
  this.bench.services[0]!.setFaults({ dieAfterRun: 1 })
})

Given('the booking service is not reachable', async function (this: OnceWorld) {
  await this.bench.services[0]!.close()
})

Given('the booking service is reachable again', async function (this: OnceWorld) {
  await this.bench.services[0]!.start()
})

Given('the booking service holds answers after the run', function (this: OnceWorld) {
  this.bench.services[0]!.setFaults({ hold: 'after' })
})

When('the booking service releases held answers', function (this: OnceWorld) {
  this.bench.services[0]!.setFaults({ hold: null })
})

Given('the platform of the bookings is down', function (this: OnceWorld) {
  this.bench.platform.setFaults({ down: true })
})

Given('the platform of the bookings loses {int} answer(s)', function (this: OnceWorld, count: number) {
  this.bench.platform.setFaults({ loseAnswers: count })
})

Given(/^the platform of the bookings holds intents of entry 0 (before|after) they take effect$/, function (
  this: OnceWorld, when: 'before' | 'after'
) {
  this.gateId = this.bench.platform.gates.add({
    kind: OBJECT_KINDS.intent, operation: 'put', when, instance: 'entry-0', skip: 0
  })
})

When('the platform of the bookings drops the held answers', function (this: OnceWorld) {
  this.bench.platform.gates.release(this.gateId, 'drop')
})

When('the platform of the bookings applies the held intent', function (this: OnceWorld) {
  this.bench.platform.gates.release(this.gateId, 'go')
})

When('a booking is sent to entry {int}', async function (this: OnceWorld, entry: number) {
  this.reply = await sendBooking(this, { entry })
  this.first ??= this.reply
})

When('the booking is sent again to entry {int}', async function (this: OnceWorld, entry: number) {
  this.reply = await sendBooking(this, { entry })
  if (this.first?.status !== 201) this.first = this.reply
})

When('the booking is sent again to entry {int} until it is answered', async function (this: OnceWorld, entry: number) {
  await waitUntil(async () => {
    this.reply = await sendBooking(this, { entry })
    return this.reply.status === 201
  })
})

When('a booking is sent to entry {int} and runs', async function (this: OnceWorld, entry: number) {
  this.caller = new AbortController()
  this.pending = sendBooking(this, { entry, signal: this.caller.signal })
  this.pending.catch(() => undefined)
  await waitUntil(() => listRuns(this) === 1)
})

When('the caller of the booking disconnects', function (this: OnceWorld) {
  this.caller.abort()
})

When('entry {int} of the bookings is lost', async function (this: OnceWorld, entry: number) {
  await this.bench.entries[entry]!.close()
})

When('a booking is sent to both entries at once', async function (this: OnceWorld) {
  this.replies = await Promise.all([sendBooking(this, { entry: 0 }), sendBooking(this, { entry: 1 })])
  assert.ok(this.replies.some((reply) => reply.status === 201))
})

When('another booking under the same key is sent to entry {int}', async function (this: OnceWorld, entry: number) {
  this.reply = await sendBooking(this, { entry, body: { ...BODY, camels: 6 } })
})

When('a booking with a key but without the at-most-once header is sent to entry {int}', async function (
  this: OnceWorld, entry: number
) {
  this.reply = await sendBooking(this, { entry, headers: { 'idempotency-key': KEY } })
})

When('a {word} call without the at-most-once header is sent to entry {int}', async function (
  this: OnceWorld, method: 'POST' | 'PUT', entry: number
) {
  const path = method === 'PUT' ? '/services/bookings/items/7' : PATH
  this.reply = await this.bench.send(path, { entry, method, body: BODY })
})

Then('the call is answered {int} after {int} run(s)', function (this: OnceWorld, status: number, count: number) {
  assert.equal(this.reply.status, status, this.reply.text)
  assert.equal(listRuns(this), count)
})

Then('the booking is answered {int}', function (this: OnceWorld, status: number) {
  assert.equal(this.reply.status, status, this.reply.text)
})

Then('the booking gets the first answer again', function (this: OnceWorld) {
  assert.equal(this.reply.status, 201, this.reply.text)
  assert.deepEqual(this.reply.json, this.first.json)
})

Then('the booking is refused {int} with {word} and outcome {word}', function (
  this: OnceWorld, status: number, reason: string, outcome: string
) {
  const { json } = this.reply
  assert.deepEqual([this.reply.status, json.reason, json.outcome], [status, reason, outcome], this.reply.text)
})

Then('the booking\'s refusal has a retry time', function (this: OnceWorld) {
  assert.ok(Number(this.reply.headers['retry-after']) >= 1)
})

Then('the booking ran once', function (this: OnceWorld) {
  assert.equal(listRuns(this), 1)
})

Then('the booking never ran', function (this: OnceWorld) {
  assert.equal(listRuns(this), 0)
})

Then('no intent of the bookings is stored in the platform', function (this: OnceWorld) {
  assert.deepEqual(this.bench.platform.readAll(OBJECT_KINDS.intent), [])
  assert.equal(this.bench.services[0]!.getRuns()[0]!.key, KEY)
})
