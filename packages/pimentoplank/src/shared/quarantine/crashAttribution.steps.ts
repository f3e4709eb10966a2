import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { findCrashingParts, isCrashingPrompt, type TargetCrash } from '.'
import { simulateCrashes, type CrashOutcome, type CrashPattern } from './testing/crashSimulation'

interface AttributionWorld {
  pattern: CrashPattern
  outcomes: CrashOutcome[]
  crashes: Array<TargetCrash<string>>
  answered?: Map<string, number>
}

const STEP_TIMEOUT_MS = 60_000
const FIRST_CRASH_AT = 1000
const NO_LOSSES: ReadonlyMap<number, number> = new Map()

/** Five losses in a row, three times over. */
function createLosses (share: number): ReadonlyMap<number, number> {
  const times = [5000, 11_000, 17_000].flatMap((start) => Array.from({ length: 5 }, (_, index) => start + index * 400))
  return new Map(times.map((at) => [at, share]))
}

const BASE_PATTERN: CrashPattern = {
  targets: 8,
  soundPerSecond: 40,
  badPerSecond: 9,
  badParts: 1,
  sessions: 60,
  losses: NO_LOSSES,
  beginMs: 120,
  downMs: 3300
}
const LARGE_FLEET = { targets: 50, soundPerSecond: 90, sessions: 400 }

const PATTERNS: Record<string, CrashPattern> = {
  'one part': BASE_PATTERN,
  'one part, many requests': { ...BASE_PATTERN, badPerSecond: 25 },
  'one part, few requests': { ...BASE_PATTERN, badPerSecond: 1 },
  'two parts at once': { ...BASE_PATTERN, badParts: 2 },
  'one part while many targets are lost': { ...BASE_PATTERN, badPerSecond: 6, losses: createLosses(0.3) },
  'one part in a large fleet': { ...BASE_PATTERN, ...LARGE_FLEET },
  'many targets lost, again and again': { ...BASE_PATTERN, badPerSecond: 0, losses: createLosses(0.3), downMs: 400 },
  'many targets lost while answers are slow to come': {
    ...BASE_PATTERN, badPerSecond: 0, losses: createLosses(0.3), beginMs: 400, downMs: 400
  },
  'many targets of a large fleet lost': {
    ...BASE_PATTERN, ...LARGE_FLEET, badPerSecond: 0, losses: createLosses(0.3), downMs: 400
  }
}

Given('the crash pattern {string}', function (this: AttributionWorld, name: string) {
  const pattern = PATTERNS[name]
  assert.ok(pattern !== undefined, `unknown crash pattern: ${name}`)
  this.pattern = pattern
})

When('crashes are simulated with seeds {int} to {int}', { timeout: STEP_TIMEOUT_MS }, function (
  this: AttributionWorld, first: number, last: number
) {
  this.outcomes = Array.from({ length: last - first + 1 }, (_, index) => simulateCrashes(this.pattern, first + index))
})

function sum (world: AttributionWorld, getValue: (outcome: CrashOutcome) => number): number {
  return world.outcomes.reduce((total, outcome) => total + getValue(outcome), 0)
}

Then('at most {int} requests with a crashing part reach targets later than 3 s after its fifth crash', function (
  this: AttributionWorld, most: number
) {
  for (const { late } of this.outcomes) assert.ok(late <= most, `${late} requests`)
})

Then('at most {float} of the sound requests are refused', function (this: AttributionWorld, most: number) {
  const share = sum(this, ({ refusedSound }) => refusedSound) / sum(this, ({ sound }) => sound)
  assert.ok(share <= most, `${share} refused`)
})

Then('at most {int} parts are found that crash nothing', function (this: AttributionWorld, most: number) {
  const wrong = sum(this, (outcome) => outcome.wrong)
  assert.ok(wrong <= most, `${wrong} parts`)
})

function setCrashes (
  world: AttributionWorld,
  apartMs: number,
  targets: number,
  getPrompt: (index: number) => string
): void {
  world.crashes = Array.from({ length: targets }, (_, index) => ({
    target: index,
    at: FIRST_CRASH_AT + index * apartMs,
    prompts: [{ id: getPrompt(index), parts: ['a', 'b'] }]
  }))
}

Given('crashes {int} ms apart of {int} targets, each with prompt p1 of parts a and b', function (
  this: AttributionWorld, apartMs: number, targets: number
) {
  setCrashes(this, apartMs, targets, () => 'p1')
})

Given('crashes {int} ms apart of {int} targets, each with a prompt of its own of parts a and b', function (
  this: AttributionWorld, apartMs: number, targets: number
) {
  setCrashes(this, apartMs, targets, (index) => `p${index}`)
})

Given('part {word} is answered after the last of them', function (this: AttributionWorld, part: string) {
  this.answered = new Map([[part, this.crashes.at(-1)!.at + 1]])
})

Given('part {word} is answered before the first of them', function (this: AttributionWorld, part: string) {
  this.answered = new Map([...this.answered ?? [], [part, FIRST_CRASH_AT - 1]])
})

function findParts ({ crashes, answered }: AttributionWorld): string[] | undefined {
  return findCrashingParts({ crashes, getAnsweredAt: (part) => answered?.get(part) })
}

Then('no part is found', function (this: AttributionWorld) {
  assert.equal(findParts(this), undefined)
})

Then('the part {word} is found', function (this: AttributionWorld, part: string) {
  assert.deepEqual(findParts(this), [part])
})

Then('the parts {word} and {word} are found', function (this: AttributionWorld, first: string, second: string) {
  assert.deepEqual(findParts(this), [first, second])
})

Then('prompt {word} is found to crash targets', function (this: AttributionWorld, id: string) {
  assert.equal(isCrashingPrompt(this.crashes, id), true)
})
