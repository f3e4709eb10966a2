import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { SendFailureReason } from '../exchange'
import type { ProcessRun } from '../model'
import {
  addListedRun, addLiveOpenEnd, addOpenEnd, computeListedMs, computeRestBackoff, hasMadeMore, isBusyRefusal,
  isEndProven, mayEndUnproven,
  type AnswerEnd, type ListHistory, type LiveOpenEnds, type OpenEnds
} from '.'

/** Time between two ends, in milliseconds. */
const STEP_MS = 400

interface EndsWorld {
  end: AnswerEnd
  run: ProcessRun
  history?: ListHistory
}

Given('a new run of which {int} events were received, the last one {int} ms before its end', function (
  this: EndsWorld, events: number, quietMs: number
) {
  this.end = { events, isResumed: false, lastEventId: events, quietMs }
})

Given('a run that went on after event {int} and received {int} events', function (
  this: EndsWorld, after: number, events: number
) {
  this.end = { events, isResumed: true, lastEventId: after + events, quietMs: 0 }
})

Given('its process has listed {int} whole answers no longer, and {int} still, as they ended', function (
  this: EndsWorld, gone: number, listed: number
) {
  this.history = { gone, listed, goneAfterMs: 0 }
})

Given('states told {int}, {int} and {int} ms after the ends of whole answers that their runs were gone', function (
  this: EndsWorld, first: number, second: number, third: number
) {
  const none: ListHistory = { gone: 0, listed: 0, goneAfterMs: Infinity }
  this.history = [first, second, third].reduce((before, afterMs) => addListedRun(before, false, afterMs), none)
})

Given('a plain answer', function (this: EndsWorld) {
  this.end = { events: undefined, isResumed: false, lastEventId: undefined, quietMs: 0 }
})

When('its process lists it with {int} events', function (this: EndsWorld, events: number) {
  this.run = { id: 'r1', events }
})

Then(/^more events (follow|may), and it may be listed for (\d+|any) ms$/, function (
  this: EndsWorld, follow: string, ms: string
) {
  assert.equal(hasMadeMore(this.run, this.end), follow === 'follow')
  assert.equal(computeListedMs(this.run, this.end, this.history ?? { gone: 1, listed: 0, goneAfterMs: 0 }), ms === 'any' ? undefined : Number(ms))
})

Then(/^after the ends "(.*)" it is (known|not known) that no event follows$/, function (text: string, known: string) {
  const ends = text.split(' ').map((end) => end.split('@'))
  const last = ends.reduce<OpenEnds>((before, [reason, target = 'a'], index) =>
    addOpenEnd(before, reason as SendFailureReason, target, index * STEP_MS), { openEnds: 0 })
  assert.equal(isEndProven(last), known === 'known')
})

Then(/^of a live stream, after the ends "(.*)" it is (known|not known) that no event follows, and it (may|may not) end as whole$/, function (
  text: string, known: string, may: string
) {
  const ends = text.split(' ').map((end) => end.split('@'))
  const last = ends.reduce<LiveOpenEnds>((before, [reason, target = 'a'], index) =>
    addLiveOpenEnd(before, reason as SendFailureReason, target, index * STEP_MS), { openEnds: 0 })
  assert.equal(isEndProven(last), known === 'known')
  assert.equal(mayEndUnproven(last), may === 'may')
})

Then(/^an item whose usual wait is (\d+) ms waits ([\d, and]+) ms for its rest, and then counts as whole$/, function (
  backoffMs: string, waits: string
) {
  const expected = waits.split(/\D+/).map(Number)
  const refusals = [...expected.keys(), expected.length].map((index) => index + 1)
  const decided = refusals.map((count) => computeRestBackoff(count, Number(backoffMs)))
  assert.deepEqual(decided, [...expected, undefined])
})

Then('refusals with status {int} and {int} don\'t count among these, those with {int} and {int} do', function (
  first: number, second: number, third: number, fourth: number
) {
  assert.deepEqual([first, second, third, fourth].map(isBusyRefusal), [true, true, false, false])
})
