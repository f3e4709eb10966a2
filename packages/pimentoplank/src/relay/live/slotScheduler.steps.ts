import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import { createMetrics, createSilentLog, type Clock, type RefusalError } from '../../shared'
import type { LoadView, TargetLoad } from '../load'
import type { Route } from '../model'
import { RELAY_RULES } from '../rules'
import { createSlotScheduler, type Slot, type SlotQuery, type SlotScheduler } from './slotScheduler'

type Acquired = Result<Slot, RefusalError>

interface SchedulerWorld {
  schedulerNow: number
  loads: TargetLoad[]
  scheduler: SlotScheduler
  /** Outcomes by name of the request. */
  acquired: Map<string, Acquired>
}

/** Deadlines of requests; long enough that none passes. */
const ENDLESS_MS = 1e9
const ROUTE = { priority: 0, targetLatencyMs: 300, targetGapMs: 300, timeoutMs: ENDLESS_MS } as unknown as Route

Given('targets {string} and {string} with 1 slot each, which are all in use', function (
  this: SchedulerWorld, first: string, second: string
) {
  this.schedulerNow = 0
  this.acquired = new Map()
  this.loads = [first, second].map(createLoad)
  this.scheduler = createSlotScheduler({
    loads: createLoads(this),
    gossip: { askToYield: () => undefined },
    yieldOwn: () => undefined,
    failureDomain: 'a',
    countSharers: () => 1,
    rules: RELAY_RULES.live,
    clock: { now: () => this.schedulerNow } as unknown as Clock,
    random: () => 0.5,
    metrics: createMetrics(),
    log: createSilentLog()
  })
})

Given('target {string} with 1 slot, which is in use', function (this: SchedulerWorld, entry: string) {
  this.loads.push(createLoad(entry, this.loads.length))
})

/** Creates the load of a target, given as its id and version, whose only slot is in use. */
function createLoad (entry: string, key: number): TargetLoad {
  const [id, version] = entry.split(' ')
  return {
    target: { id: id!, service: 's', address: '127.0.0.1:1', failureDomain: 'a', version: version!, slots: 1, state: 'ready' },
    key,
    live: 1,
    batch: 0,
    ownLive: 1,
    ownBatch: 0,
    isSuspect: false,
    isOwnSuspect: false,
    isOutdated: false,
    isLeaving: false,
    isFresh: true,
    isPreferred: true,
    allowance: Infinity
  }
}

function createLoads (world: SchedulerWorld): LoadView {
  return {
    getLoads: () => world.loads,
    begin: (id: string) => { getLoad(world, id).live += 1 },
    end: (id: string) => { getLoad(world, id).live -= 1 },
    listBatchHolders: () => []
  } as unknown as LoadView
}

function getLoad (world: SchedulerWorld, id: string): TargetLoad {
  return world.loads.find(({ target }) => target.id === id)!
}

/** Asks for a slot; the outcome is known after the next step. */
async function ask (world: SchedulerWorld, name: string, change: Partial<SlotQuery> = {}): Promise<void> {
  world.scheduler.acquire({
    requestId: name,
    route: ROUTE,
    service: 's',
    arrivedAt: world.schedulerNow,
    endAt: world.schedulerNow + ENDLESS_MS,
    isReturning: true,
    isRepeatable: true,
    isContinuation: change.version !== undefined,
    excluded: new Set(),
    signal: new AbortController().signal,
    ...change
  }).then((result) => world.acquired.set(name, result), assert.fail)
  await settle()
}

async function settle (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}

When('a new request waits for a slot, and then a stream of version {string}', async function (
  this: SchedulerWorld, version: string
) {
  await ask(this, 'new')
  await ask(this, 'stream', { version })
  assert.equal(this.scheduler.countWaiting(), 2)
})

When('another new request waits for a slot', async function (this: SchedulerWorld) {
  await ask(this, 'another')
  assert.equal(this.scheduler.countWaiting(), 2)
})

When('a stream of version {string} waits for a slot', async function (this: SchedulerWorld, version: string) {
  await ask(this, 'stream', { version })
  assert.equal(this.scheduler.countWaiting(), 1)
})

Given('the entry of {string} is out of date', function (this: SchedulerWorld, id: string) {
  getLoad(this, id).isOutdated = true
})

When('the slot of {string} becomes free, but is not assigned yet', function (this: SchedulerWorld, id: string) {
  getLoad(this, id).live -= 1
})

When('the slot of {string} becomes free', async function (this: SchedulerWorld, id: string) {
  getLoad(this, id).live -= 1
  this.scheduler.dispatch()
  await settle()
})

When('free slots are assigned', async function (this: SchedulerWorld) {
  this.scheduler.dispatch()
  await settle()
})

When('target {string} leaves', async function (this: SchedulerWorld, id: string) {
  this.loads = this.loads.filter(({ target }) => target.id !== id)
  this.scheduler.dispatch()
  await settle()
})

When('{int} streams of version {string} look for a slot', async function (
  this: SchedulerWorld, count: number, version: string
) {
  for (let index = 0; index < count; index++) await ask(this, `stream ${index}`, { version })
})

function getTarget (world: SchedulerWorld, name: string): string | undefined {
  return world.acquired.get(name)?.unwrapOr(undefined)?.target.id
}

Then('the new request gets the slot of {string}', function (this: SchedulerWorld, id: string) {
  assert.equal(getTarget(this, 'new'), id)
  assert.equal(this.acquired.has('stream'), false)
})

Then('the stream gets the slot of {string}', function (this: SchedulerWorld, id: string) {
  assert.equal(getTarget(this, 'stream'), id)
})

Then('a new request gets no slot', async function (this: SchedulerWorld) {
  await ask(this, 'new', { isReturning: false })
  assert.equal(getTarget(this, 'new'), undefined)
  assert.equal(getTarget(this, 'stream'), undefined)
})

Then('a new request gets a slot', async function (this: SchedulerWorld) {
  await ask(this, 'new', { isReturning: false })
  assert.notEqual(getTarget(this, 'new'), undefined)
})

Then('the stream is refused as {string}', function (this: SchedulerWorld, reason: string) {
  assert.equal(this.acquired.get('stream')?._unsafeUnwrapErr().reason, reason)
})

Then('all of them wait, while a new request is refused as {string}', async function (
  this: SchedulerWorld, reason: string
) {
  assert.equal(this.acquired.size, 0)
  await ask(this, 'new', { isReturning: false })
  assert.equal(this.acquired.get('new')?._unsafeUnwrapErr().reason, reason)
})

When('{int} requests wait for the slots of another service', async function (this: SchedulerWorld, count: number) {
  // Streams that have begun wait however long the queue is.
  for (let index = 0; index < count; index++) await ask(this, `other ${index}`, { service: 'o', version: 'v2' })
  assert.equal(this.scheduler.countWaiting(), count)
})

When('a request that was refused before looks for a slot', async function (this: SchedulerWorld) {
  await ask(this, 'returning')
})

Then('it waits until the slot of {string} becomes free', async function (this: SchedulerWorld, id: string) {
  assert.equal(this.acquired.has('returning'), false)
  getLoad(this, id).live -= 1
  this.scheduler.dispatch()
  await settle()
  assert.equal(getTarget(this, 'returning'), id)
})
