import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import {
  addIdentifyFailure, chooseStarts, countProbes, endsIdentifyBackoff, type BatchCandidate, type IdentifyFailures
} from '.'

interface IdentifyWorld {
  failures: IdentifyFailures
  candidates: BatchCandidate[]
}

const REFUSED_AFTER_MS = 10

When('an item sent at {int} ms is refused at {int} ms since the process is not known', function (
  this: IdentifyWorld, sentAt: number, now: number
) {
  this.failures = addIdentifyFailure(this.failures, sentAt, now)
})

When('items sent after the backoff are refused {int} times more', function (this: IdentifyWorld, times: number) {
  for (let time = 0; time < times; time++) {
    const { until } = this.failures
    this.failures = addIdentifyFailure(this.failures, until, until + REFUSED_AFTER_MS)
  }
})

Then('items are held back until {int} ms', function (this: IdentifyWorld, until: number) {
  assert.equal(this.failures.until, until)
})

Then('items are held back for {int} ms', function (this: IdentifyWorld, ms: number) {
  assert.equal(this.failures.until - this.failures.at, ms)
})

Then('{int} item(s) may start there at {int} ms', function (this: IdentifyWorld, count: number, now: number) {
  assert.equal(countProbes(this.failures, false, now), count)
})

Then('no item may start there at {int} ms while another one waits for its answer', function (
  this: IdentifyWorld, now: number
) {
  assert.equal(countProbes(this.failures, true, now), 0)
})

Then(/^the answer to an item sent at (\d+) ms (ends|does not end) the backoff$/, function (
  this: IdentifyWorld, sentAt: string, ends: string
) {
  assert.equal(endsIdentifyBackoff(this.failures, Number(sentAt)), ends === 'ends')
})

Given(/^target "(\w+)" with (\d+) free slots is (probed|held back) and target "(\w+)" has (\d+)$/, function (
  this: IdentifyWorld, first: string, firstSlots: string, how: string, second: string, secondSlots: string
) {
  const common = { version: 'v1', live: 0, batch: 0, isNear: true, isSuspect: false, isFresh: true, allowance: Infinity }
  this.candidates = [
    { ...common, id: first, slots: Number(firstSlots), probes: how === 'probed' ? 1 : 0 },
    { ...common, id: second, slots: Number(secondSlots) }
  ]
})

Then(/^(\d+) items start at: (.*)$/, function (this: IdentifyWorld, count: string, expected: string) {
  const own = Array.from({ length: Number(count) }, (_, index) => ({ job: `job-${index}`, dueAt: index }))
  const starts = chooseStarts({ targets: this.candidates, own, others: [], liveReserve: 0 })
  assert.equal(starts.map(({ target }) => target).join(', '), expected)
})
