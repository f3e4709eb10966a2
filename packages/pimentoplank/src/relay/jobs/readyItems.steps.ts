import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { hash32, SECOND_MS } from '../../shared'
import type { WaitingItems } from '../gossip'
import { summarizeReadyItems, type ReadyItem } from './readyItems'

interface ReadyItemsWorld {
  readyItems: ReadyItem[]
  summary: WaitingItems[]
}

function createItem (service: string, dueAt: number): ReadyItem {
  return { job: 'j', service, dueAt } as unknown as ReadyItem
}

Given('{int} waiting items of service {string} that are due in 1 to {int} s, and {int} of service {string} that are due in {int} s', function (
  this: ReadyItemsWorld, count: number, service: string, seconds: number, others: number, other: string, due: number
) {
  this.readyItems = [
    ...Array.from({ length: count }, (_, index) => createItem(service, (1 + index % seconds) * SECOND_MS)),
    ...Array.from({ length: others }, () => createItem(other, due * SECOND_MS))
  ]
})

When('they are summarized for a report', function (this: ReadyItemsWorld) {
  this.summary = summarizeReadyItems(this.readyItems, false)
})

Then('the report has at most {int} entries, of which {int} tells of {int} items of {string}', function (
  this: ReadyItemsWorld, most: number, entries: number, items: number, service: string
) {
  assert.ok(this.summary.length <= most)
  const counts = this.summary.filter((one) => one.service === hash32(service)).map(({ count }) => count)
  assert.deepEqual([counts.length, counts[0]], [entries, items])
})

Then('the entries of {string} are those due in 1 to {int} s', function (
  this: ReadyItemsWorld, service: string, last: number
) {
  const dueTimes = this.summary.filter((one) => one.service === hash32(service)).map(({ dueAt }) => dueAt / SECOND_MS)
  assert.deepEqual(dueTimes, Array.from({ length: last }, (_, index) => 1 + index))
})
