import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { hash32 } from '../../shared'
import { chooseStarts, listRivals, type BatchCandidate, type BatchStart, type WaitingItem } from '.'

interface SchedulingWorld {
  ownService: string
  targets: BatchCandidate[]
  item: WaitingItem
  waiting: Array<{ dueAt: number, count: number, service?: number }>
  starts: Array<BatchStart<WaitingItem>>
}

Given('{int} targets of service {string} with {int} free slot each, and an item for them that is due in {int} ms', function (
  this: SchedulingWorld, count: number, service: string, slots: number, dueAt: number
) {
  this.ownService = service
  this.targets = Array.from({ length: count }, (_, index) => ({
    id: `t${index}`,
    version: 'v1',
    slots,
    live: 0,
    batch: 0,
    isNear: true,
    isSuspect: false,
    isFresh: true,
    allowance: Infinity
  }))
  this.item = { job: 'own', dueAt }
})

Given(/^another instance has (\d+) items for (?:service "(.*)"|a service not said) that are due in (\d+) ms$/, function (
  this: SchedulingWorld, count: string, service: string | undefined, dueAt: string
) {
  this.waiting = [{
    count: Number(count), dueAt: Number(dueAt), service: service === undefined ? undefined : hash32(service)
  }]
})

When(/^items run at (one|several)$/, function (this: SchedulingWorld, services: string) {
  const others = listRivals(this.waiting, hash32(this.ownService), services === 'one')
  this.starts = chooseStarts({ targets: this.targets, own: [this.item], others, liveReserve: 0 })
})

Then(/^the item (starts|doesn't start)$/, function (this: SchedulingWorld, outcome: string) {
  assert.equal(this.starts.length, outcome === 'starts' ? 1 : 0)
})
