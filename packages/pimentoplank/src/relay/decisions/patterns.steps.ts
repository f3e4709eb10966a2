import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { chooseStarts, choosePreempted, rankItem } from '.'
import { simulate, type Outcome, type LoadPattern } from './testing/simulation'

interface PatternWorld {
  /** Items named by their due time, with their rank. */
  ranked: Array<{ job: string, dueAt: number }>
  pattern: LoadPattern
  outcomes: Outcome[]
}

const STEP_TIMEOUT_MS = 120_000
const LENGTH_MS = 32_000
const LOW_MS = 3000
const HIGH_MS = 2200
const LOW_RATE_FACTOR = 0.378
const HIGH_RATE_FACTOR = 1.85

/** Arrival rate that alternates between a third and nearly twice the mean. */
function createSteps (perSecond: number): (ms: number) => number {
  return (ms) => perSecond * (ms % (LOW_MS + HIGH_MS) < LOW_MS ? LOW_RATE_FACTOR : HIGH_RATE_FACTOR)
}

/** Jobs at regular intervals, of ten items each by default. */
function createJobs (perSecond: number, items = 10): LoadPattern['jobs'] {
  const count = Math.floor(perSecond * LENGTH_MS / 1000)
  return Array.from({ length: count }, (_, index) => ({ atMs: Math.floor(index * 1000 / perSecond), items }))
}

const BASE_PATTERN: LoadPattern = {
  instances: 7,
  targets: 8,
  slots: 8,
  lengthMs: LENGTH_MS,
  livePerSecond: createSteps(35),
  liveRunMs: 780,
  jobs: createJobs(0.4),
  batchRunMs: 5000
}

const PATTERNS: Record<string, LoadPattern> = {
  'steps beside batch that fits': BASE_PATTERN,
  'steps beside batch that does not fit': { ...BASE_PATTERN, livePerSecond: createSteps(40), jobs: createJobs(0.9) },
  'a burst of live requests on top of a step': {
    ...BASE_PATTERN, livePerSecond: (ms) => createSteps(35)(ms) * (ms >= 8000 && ms < 12_000 ? 2 : 1)
  },
  'a third of the targets gone': { ...BASE_PATTERN, targetsAt: (ms) => ms >= 8000 && ms < 14_000 ? 5 : 8 },
  'most targets of the older version gone': {
    ...BASE_PATTERN,
    versionOf: (target) => target >= 1 && target <= 4 ? 'v2' : 'v1',
    targetsAt: (ms) => ms < 8000 ? 8 : 5,
    livePerSecond: createSteps(8),
    jobs: [...createJobs(0.2), { atMs: 5000, items: 45 }]
  },
  'many jobs at once': {
    ...BASE_PATTERN, jobs: [...createJobs(0.3), ...Array.from({ length: 6 }, () => ({ atMs: 6000, items: 10 }))]
  },
  'empty targets added under load': { ...BASE_PATTERN, targetsAt: (ms) => ms < 16_000 ? 6 : 8 },
  'a large fleet whose steps do not fit': {
    ...BASE_PATTERN,
    instances: 13,
    targets: 13,
    slots: 7,
    lengthMs: 16_000,
    livePerSecond: createSteps(75),
    jobs: createJobs(0.7).filter(({ atMs }) => atMs < 16_000),
    batchRunMs: 4500,
    viewAgeMs: 60,
    preferringInstances: 3
  },
  'a kill of all instances amid a step': {
    // Steps that fit, so that what is lost is lost to the outage.
    ...BASE_PATTERN, livePerSecond: createSteps(40), outage: { fromMs: 9000, toMs: 10_000 }
  },
  'instances that see each other late': { ...BASE_PATTERN, viewAgeMs: 500 }
}

Given('the load pattern {string}', function (this: PatternWorld, name: string) {
  const pattern = PATTERNS[name]
  assert.ok(pattern !== undefined, `unknown load pattern: ${name}`)
  this.pattern = pattern
})

When('it is simulated with seeds {int} to {int}', { timeout: STEP_TIMEOUT_MS }, function (
  this: PatternWorld, first: number, last: number
) {
  this.outcomes = Array.from({ length: last - first + 1 }, (_, index) => simulate(this.pattern, first + index))
})

function mean (world: PatternWorld, getValue: (outcome: Outcome) => number): number {
  return world.outcomes.reduce((sum, outcome) => sum + getValue(outcome), 0) / world.outcomes.length
}

Then('the live requests on time are at least {float} of the upper bound', function (this: PatternWorld, least: number) {
  const share = mean(this, ({ onTime, bounds }) => onTime / bounds.onTime)
  assert.ok(share >= least, `${share} of what is possible`)
})

Then('at least {float} of the batch items are finished when due', function (this: PatternWorld, least: number) {
  const share = mean(this, ({ itemsOnTime }) => itemsOnTime)
  assert.ok(share >= least, `${share} of the batch items were finished when due`)
})

Then('no item waits longer than {int} ms for its version while other targets have room', function (this: PatternWorld, most: number) {
  for (const { longestVersionWaitMs } of this.outcomes) assert.ok(longestVersionWaitMs <= most, `${longestVersionWaitMs} ms`)
})

Then('at most {float} of the batch items begin anew', function (this: PatternWorld, most: number) {
  const share = mean(this, ({ begunAnew, items }) => begunAnew / items)
  assert.ok(share <= most, `${share} of the batch items began anew`)
})

Then('at most {float} of the live requests are refused for good', function (this: PatternWorld, most: number) {
  const share = mean(this, ({ refused, live }) => refused / live)
  assert.ok(share <= most, `${share} of the live requests were refused for good`)
})

Then('every refusal comes within {int} ms', function (this: PatternWorld, most: number) {
  for (const { slowestRefusalMs } of this.outcomes) assert.ok(slowestRefusalMs <= most, `took ${slowestRefusalMs} ms`)
})

Then('the slot utilization is at least {float} of the upper bound', function (this: PatternWorld, least: number) {
  const share = mean(this, ({ utilization, bounds }) => utilization / bounds.utilization)
  assert.ok(share >= least, `${share} of what is possible`)
})

Given('one free slot and two items: one due in {int} ms that needs {int} ms, one due in {int} ms that needs {int} ms', function (
  this: PatternWorld, firstDue: number, firstLeft: number, secondDue: number, secondLeft: number
) {
  this.ranked = [[firstDue, firstLeft], [secondDue, secondLeft]].map(([due, left]) => (
    { job: String(due), dueAt: rankItem(due!, left!, 0) }
  ))
})

Then('the item due in {int} ms starts', function (this: PatternWorld, due: number) {
  const target = {
    id: 't', version: 'v1', slots: 1, live: 0, batch: 0, isNear: true, isSuspect: false, isFresh: true, allowance: Infinity
  }
  const [start] = chooseStarts({ targets: [target], own: this.ranked, others: [], liveReserve: 0 })
  assert.equal(start?.item.job, String(due))
})

Then('of two running items the one due in {int} ms is preempted', function (this: PatternWorld, due: number) {
  const held = this.ranked.map((item) => ({ ...item, target: 't', hasStarted: true }))
  assert.equal(choosePreempted(held, 1)[0]?.job, String(due))
})
