import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import { RELAY_RULES } from '../rules'
import { decideAdmission, type Admission, type WaitingRequest, orderWaiting } from './admission'
import { choosePlacement, type Placement, type PlacementCandidate } from './placement'

interface ContinuationWorld {
  admit: (isContinuation: boolean) => Admission
  place: (isContinuation: boolean) => Placement
  waiting: Array<WaitingRequest & { name: string }>
}

const REMAINING_MS = 5000
const NOW = 1000
const random = (): number => 0.5

Given('{int} slots, {int} requests in the queue and a mean run time of {int} ms', function (
  this: ContinuationWorld, slots: number, queueLength: number, meanRunMs: number
) {
  this.admit = (isContinuation) => decideAdmission({
    slots, queueLength, meanRunMs, remainingMs: REMAINING_MS, isReturning: false, isContinuation
  }, RELAY_RULES.live, random)
})

Then('a new request is refused', function (this: ContinuationWorld) {
  assert.equal(this.admit(false).type, 'refuse')
})

Then(/^a request that has run (waits|is refused)$/, function (this: ContinuationWorld, outcome: string) {
  assert.equal(this.admit(true).type, outcome === 'waits' ? 'wait' : 'refuse')
})

Given('requests that wait: a late one, a new one, one that has run', function (this: ContinuationWorld) {
  const create = (name: string, arrivedAt: number, isContinuation: boolean): ContinuationWorld['waiting'][number] => ({
    name,
    ask: {
      arrivedAt,
      endAt: arrivedAt + REMAINING_MS,
      isReturning: false,
      isContinuation,
      route: { priority: 0, targetLatencyMs: 300 }
    }
  })
  this.waiting = [
    create('a late one', NOW - 900, false), create('a new one', NOW, false), create('one that has run', NOW - 800, true)
  ]
})

Then('they are served in the order: {}', function (this: ContinuationWorld, order: string) {
  assert.equal(orderWaiting(this.waiting, NOW).map(({ name }) => name).join(', '), order)
})

Given('one target with {int} slots of which {int} are in use', function (this: ContinuationWorld, slots: number, live: number) {
  const target: PlacementCandidate = {
    id: 'target-1',
    slots,
    live,
    batch: 0,
    ownLive: live,
    ownBatch: 0,
    isNear: true,
    isSuspect: false,
    isFresh: true,
    isPreferred: true,
    allowance: Infinity
  }
  this.place = (isContinuation) => choosePlacement({
    candidates: [target],
    targetLatencyMs: 300,
    instances: 1,
    meanRunMs: 1000,
    mayQueue: false,
    isRepeatable: true,
    isContinuation
  }, RELAY_RULES.live, random)
})

Then('a new request from the queue is not placed', function (this: ContinuationWorld) {
  assert.deepEqual(this.place(false), { type: 'wait' })
})

Then('a request that has run is placed from the queue', function (this: ContinuationWorld) {
  assert.deepEqual(this.place(true), { type: 'free', id: 'target-1' })
})
