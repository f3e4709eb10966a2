import assert from 'node:assert/strict'
import { Before, Given, Then, When } from '@cucumber/cucumber'
import { eventText, type ReplicaRun } from 'pimentoplank-platform/testing'
import { EVENTS_PER_RESPONSE, findStreamViolations, type Attempt, type SeenTarget } from '../src'

interface ChecksWorld {
  targets: SeenTarget[]
  attempts: Attempt[]
  items: Array<{ id: string, events: number }>
  storeFaults: Array<{ from: number, to: number }>
}

/** Time of the records; late enough that targets and instances have been calm before it. */
const NOW = 100_000
const LATER = NOW + 10_000
const HELD_EVENTS = 3
const RUN_MS = 300

Before(function (this: ChecksWorld) {
  this.targets = []
  this.attempts = []
  this.items = []
  this.storeFaults = []
})

function addTarget ({ targets }: ChecksWorld, version: string): SeenTarget {
  const standin = { id: `target-${targets.length + 1}`, version, runs: [] }
  const target = { standin, startedAt: 0, disturbed: [] }
  targets.push(target)
  return target
}

function getTarget (world: ChecksWorld, version: string): SeenTarget {
  return world.targets.find(({ standin }) => standin.version === version) ?? addTarget(world, version)
}

function addRun (world: ChecksWorld, version: string, run: Pick<ReplicaRun, 'id' | 'from' | 'sent'> & Partial<ReplicaRun>): void {
  const { runs } = getTarget(world, version).standin
  const at = NOW + world.targets.flatMap(({ standin }) => standin.runs).length
  runs.push({ version, path: '/ask/x', sender: '', body: '', at, ran: true, outcome: 'done', headers: {}, ...run })
}

/** Adds an attempt that brought the events with these ids. */
function addAttempt (world: ChecksWorld, id: string, ids: readonly number[], attempt: Partial<Attempt> = {}): Attempt {
  const body = ids.map((event) => `id: ${event}\ndata: ${eventText(id, event)}\n\n`).join('')
  const sentAt = attempt.sentAt ?? NOW
  const added: Attempt = {
    id,
    request: id.replace(/a\d+$/, ''),
    kind: 'resumable',
    instance: { id: 'front-1', touchedAt: [], cuts: [] } as unknown as Attempt['instance'],
    from: 0,
    sentAt,
    endedAt: sentAt + RUN_MS,
    hasLeft: false,
    answer: {
      status: 200, headers: {}, body, isTruncated: false, isWhole: ids.at(-1) === EVENTS_PER_RESPONSE, tookMs: 0
    },
    ...attempt
  }
  world.attempts.push(added)
  return added
}

function range (from: number, to = EVENTS_PER_RESPONSE): number[] {
  return Array.from({ length: to - from + 1 }, (_, index) => from + index)
}

function beginStreams (world: ChecksWorld, count: number, prefix: string): void {
  for (let index = 0; index < count; index++) {
    const id = `${prefix}${index}a0`
    addAttempt(world, id, range(1, HELD_EVENTS))
    addRun(world, 'v1', { id, from: 0, sent: HELD_EVENTS })
  }
}

Given('{int} stream(s) whose first 3 events came from v1', function (this: ChecksWorld, count: number) {
  beginStreams(this, count, 's')
})

When('each is taken up at {word}, which sends the other 9 events', function (this: ChecksWorld, version: string) {
  for (const { request } of [...this.attempts]) takeUp(this, request, version, range(HELD_EVENTS + 1))
})

function takeUp (world: ChecksWorld, request: string, version: string, ids: readonly number[]): Attempt {
  const id = `${request}a1`
  addRun(world, version, { id, from: HELD_EVENTS, sent: ids.length })
  return addAttempt(world, id, ids, { from: HELD_EVENTS, sentAt: LATER })
}

/** Ids of the events that streams taken up bring instead of those that they should. */
const WRONG_EVENTS: Record<string, number[]> = {
  'with event 4 missing': range(5),
  'with event 3 once more': range(3),
  'without its last event': range(4, 11)
}

When(/^each is taken up (with event 4 missing|with event 3 once more|without its last event)$/, function (
  this: ChecksWorld, how: string
) {
  for (const { request } of [...this.attempts]) takeUp(this, request, 'v1', WRONG_EVENTS[how]!).answer!.isWhole = true
})

When('each is taken up with more bytes than its caller keeps', function (this: ChecksWorld) {
  for (const { request } of [...this.attempts]) takeUp(this, request, 'v1', range(HELD_EVENTS + 1)).answer!.isTruncated = true
})

Given('{int} answers of which v1 sent {int} events and v2 the others', function (
  this: ChecksWorld, count: number, events: number
) {
  for (let index = 0; index < count; index++) {
    const id = `s${index}a0`
    addAttempt(this, id, range(1))
    addRun(this, 'v1', { id, from: 0, sent: events })
    addRun(this, 'v2', { id, from: events, sent: EVENTS_PER_RESPONSE - events })
  }
})

Given('{int} answers of which v1 sent {int} events, v2 {int} in vain, and v1 the others', function (
  this: ChecksWorld, count: number, events: number, vain: number
) {
  for (let index = 0; index < count; index++) {
    const id = `s${index}a0`
    addAttempt(this, id, range(1))
    addRun(this, 'v1', { id, from: 0, sent: events })
    addRun(this, 'v2', { id, from: 0, sent: vain })
    addRun(this, 'v1', { id, from: events, sent: EVENTS_PER_RESPONSE - events })
  }
})

Given(/^(\d+) items of which v1 sent (\d+) events and v2 (the others|all)$/, function (
  this: ChecksWorld, count: string, sent: string, what: string
) {
  const from = what === 'all' ? 0 : Number(sent)
  for (let index = 0; index < Number(count); index++) {
    const id = `j${index}i0`
    this.items.push({ id, events: EVENTS_PER_RESPONSE })
    addRun(this, 'v1', { id, from: 0, sent: Number(sent) })
    addRun(this, 'v2', { id, from, sent: EVENTS_PER_RESPONSE - from })
  }
})

Given('{int} targets of version v1 and {int} new streams that begin', function (
  this: ChecksWorld, targets: number, streams: number
) {
  for (let index = 0; index < targets; index++) addTarget(this, 'v1')
  for (let index = 0; index < streams; index++) {
    const id = `new${index}a0`
    addAttempt(this, id, range(1))
    addRun(this, 'v1', { id, from: 0, sent: EVENTS_PER_RESPONSE })
  }
})

When('{int} streams of version v1 are taken up and {int} of them go on', function (
  this: ChecksWorld, taken: number, on: number
) {
  beginStreams(this, taken, 's')
  for (let index = 0; index < taken; index++) {
    const attempt = takeUp(this, `s${index}`, 'v1', index < on ? range(HELD_EVENTS + 1) : [])
    attempt.instance = this.attempts[0]!.instance
    if (index >= on) attempt.answer = { status: 503, headers: {}, body: '', isTruncated: false, isWhole: true, tookMs: 0 }
  }
})

Given('a fault of the instance {int} ms before the streams are taken up', function (this: ChecksWorld, ms: number) {
  this.attempts[0]!.instance.touchedAt.push(LATER - ms)
})

Given('a fault of the store {int} ms before the streams are taken up', function (this: ChecksWorld, ms: number) {
  this.storeFaults.push({ from: LATER - ms - 500, to: LATER - ms })
})

Given('a fault of a target {int} ms before the streams are taken up', function (this: ChecksWorld, ms: number) {
  this.targets[0]!.disturbed.push({ from: LATER - ms - 500, to: LATER - ms })
})

Given('an answer cut after {int} ms, while its target pauses', function (this: ChecksWorld, ms: number) {
  const id = 's0a0'
  addAttempt(this, id, range(1, HELD_EVENTS), { endedAt: NOW + ms })
  addRun(this, 'v1', {
    id, from: 0, sent: HELD_EVENTS, outcome: 'dropped', paused: { events: HELD_EVENTS, from: NOW + 300, to: NOW + ms }
  })
})

/** Troubles that excuse a cut answer. */
const EXCUSES: Record<string, (world: ChecksWorld, at: number) => void> = {
  nothing: () => undefined,
  'a cut of the instance': ({ attempts }, at) => attempts[0]!.instance.cuts.push({ from: at, to: at + 1 }),
  'a fault of the instance': ({ attempts }, at) => attempts[0]!.instance.touchedAt.push(at),
  'a fault of a target': ({ targets }, at) => targets[0]!.disturbed.push({ from: at - 500, to: at }),
  'the caller leaving': ({ attempts }) => { attempts[0]!.hasLeft = true }
}

Given(/^(nothing|a cut of the instance|a fault of the instance|a fault of a target|the caller leaving) (\d+) ms before the answer$/, function (
  this: ChecksWorld, trouble: string, ms: string
) {
  EXCUSES[trouble]!(this, NOW - Number(ms))
})

Then(/^(nothing|order|lost|silence|whole) is violated$/, function (this: ChecksWorld, name: string) {
  const names = new Set(findStreamViolations(this).map((text) => text.replace(/:.*/, '')))
  assert.deepEqual([...names], name === 'nothing' ? [] : [name])
})
