import assert from 'node:assert/strict'
import { isDeepStrictEqual } from 'node:util'
import { Given, Then, When } from '@cucumber/cucumber'
import { loadSettings, parseSettings } from 'pimentoplank/shared'
import type { LiveResponse } from '../caller'
import { generateArrivals } from './arrivals'
import { experiment as experimentSchema, type Experiment } from './experiment'
import { createLiveRecorder, type LiveRecorder } from './recorder'

const DURATION_MS = 60_000
const WINDOW_MS = 250

interface LoadWorld {
  experiment: Experiment
  recorder: LiveRecorder
}

Given('an experiment of the load tool with bursts and idle gaps', function (this: LoadWorld) {
  this.experiment = experimentSchema.parse({
    name: 'bursts',
    seed: 7,
    model: 'desk-lm-8b',
    durationMs: DURATION_MS,
    accounts: { count: 100, skew: 1.1 },
    live: {
      ratePerSecond: 50,
      prefixChars: 8,
      phases: [{ ms: 2000, factor: 1 }, { ms: 500, factor: 4 }, { ms: 2000, factor: 0 }]
    }
  })
})

/** Describes the first difference, since a comparison of whole lists would take minutes to describe theirs. */
function findDifference (first: Experiment, second: Experiment): string | undefined {
  const [own, others] = [generateArrivals(first), generateArrivals(second)]
  const { length } = own.length > others.length ? own : others
  const at = Array.from({ length }, (_, index) => index).find((index) => !isDeepStrictEqual(own[index], others[index]))
  return at === undefined ? undefined : `request ${at} of ${own.length} and ${others.length} differs`
}

Then('the load tool draws the same requests twice from one seed', function (this: LoadWorld) {
  assert.equal(findDifference(this.experiment, this.experiment), undefined)
})

Then('the load tool draws other requests from another seed', function (this: LoadWorld) {
  assert.notEqual(findDifference(this.experiment, { ...this.experiment, seed: 8 }), undefined)
})

Then('the load tool sends nothing in a quarter of the time, and in bursts more than twice the mean',
  function (this: LoadWorld) {
    const windows = new Array<number>(DURATION_MS / WINDOW_MS).fill(0)
    const arrivals = generateArrivals(this.experiment)
    for (const { atMs } of arrivals) windows[Math.floor(atMs / WINDOW_MS)]! += 1
    assert.ok(windows.filter((count) => count === 0).length > windows.length / 4)
    assert.ok(Math.max(...windows) > 2 * arrivals.length / windows.length)
  })

Then('the first account of the load tool sends more than ten times as much as the fiftieth', function (this: LoadWorld) {
  const arrivals = generateArrivals(this.experiment)
  const sentBy = (account: number): number => arrivals.filter((arrival) => arrival.account === account).length
  assert.ok(sentBy(0) > 10 * sentBy(49))
})

function createResponse (changes: Partial<LiveResponse>): LiveResponse {
  return { status: 200, requestId: 'r', isComplete: true, text: 'right', tokens: 1, tokenGapsMs: [], totalMs: 10, ...changes }
}

const SENT = { intendedAtMs: 0, sendDelayMs: 0, expected: 'right' }

When('the load tool records a response that was sent 40 ms late and began 10 ms after', function (this: LoadWorld) {
  this.recorder = createLiveRecorder(0)
  this.recorder.record({ ...SENT, sendDelayMs: 40 }, createResponse({ firstTokenMs: 10 }))
})

When('the load tool records a wrong text and a refusal', function (this: LoadWorld) {
  this.recorder = createLiveRecorder(0)
  this.recorder.record(SENT, createResponse({ text: 'of another caller' }))
  this.recorder.record(SENT, createResponse({ status: 503, isComplete: false, reason: 'overloaded' }))
})

Then('the load tool reports a first token after {int} ms', function (this: LoadWorld, ms: number) {
  assert.equal(Math.round(this.recorder.getResult().firstTokenMs.max), ms)
})

Then('the load tool reports {int} sent, {int} complete, {int} wrong and {int} refused as {string}',
  function (this: LoadWorld, sent: number, whole: number, wrong: number, refused: number, reason: string) {
    const result = this.recorder.getResult()
    assert.deepEqual([result.sent, result.whole, result.wrong], [sent, whole, wrong])
    assert.deepEqual(result.refusals, { [reason]: refused })
  })

Then('the load tool rejects an experiment with {string} and names the setting', function (path: string) {
  const live = { ratePerSecond: 1, ratePerMinute: 60 }
  const text = JSON.stringify({ name: 'x', model: 'm', durationMs: 1, accounts: { count: 1 }, live })
  const issues = parseSettings('x.json', text, experimentSchema)._unsafeUnwrapErr().issues
  assert.deepEqual(issues.map((issue) => issue.path), [path])
})

Then('the load tool accepts {string}', async function (file: string) {
  const loaded = await loadSettings(file, experimentSchema)
  assert.ok(loaded.isOk())
})
