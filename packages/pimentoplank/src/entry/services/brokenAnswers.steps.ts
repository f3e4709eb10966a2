import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { sendHttp10, type Http10Response } from '@pimentoplank/standins'
import type { BodyFraming } from '../../shared'
import { KEY } from '../testing/entryBench'
import type { EntryWorld } from '../testing/entryBench.steps'
import { waitUntil } from '../testing/waitUntil'

const PATH = '/services/bookings/availability'

interface BrokenAnswersWorld extends EntryWorld {
  http10: Http10Response
}

Given('the booking service frames answers by {word}', function (this: BrokenAnswersWorld, framing: BodyFraming) {
  this.bench.services[0]!.setFaults({ framing })
})

Given('the booking service frames answers by {word} and breaks off the next one by a {word}', function (
  this: BrokenAnswersWorld, framing: BodyFraming, by: 'close' | 'reset'
) {
  this.bench.services[0]!.setFaults({ framing, breakOff: { count: 1, bytes: 12, by } })
})

When('the availability is read through entry {int}', async function (this: BrokenAnswersWorld, entry: number) {
  this.reply = await this.bench.send(PATH, { entry })
})

When('the availability is read through entry {int} over HTTP\\/1.0', async function (this: BrokenAnswersWorld, entry: number) {
  this.http10 = await sendHttp10(this.bench.entries[entry]!.address, {
    method: 'GET', path: PATH, headers: { Host: 'entry', Authorization: `Bearer ${KEY}` }
  })
})

Then('the connection of the caller is reset', function (this: BrokenAnswersWorld) {
  assert.match(this.http10.text, /200 OK/)
  assert.ok(this.http10.isReset)
})

Then('the reply is {word}', function (this: BrokenAnswersWorld, state: 'broken' | 'complete') {
  assert.equal(this.reply.broken, state === 'broken', this.reply.text)
})

Given('the booking service is silent', function (this: BrokenAnswersWorld) {
  this.bench.services[0]!.setFaults({ silent: true })
})

When('the availability is read through entry {int} by a caller that disconnects', async function (
  this: BrokenAnswersWorld, entry: number
) {
  const disconnect = new AbortController()
  const reply = this.bench.send(PATH, { entry, signal: disconnect.signal })
  await waitUntil(() => this.bench.slots.getHeldCount() === 1)
  disconnect.abort()
  await assert.rejects(reply)
})

Then('the booking service\'s slot was released as {word}', async function (this: BrokenAnswersWorld, result: string) {
  await waitUntil(() => this.bench.slots.reports.length === 1)
  assert.equal(this.bench.slots.reports[0]!.result, result)
})
