import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { err, ok, type Result } from 'neverthrow'
import { createMemoryBudget, createSilentLog, MIB_BYTES, RefusalError, type MemoryBudget } from '../../shared'
import type { CallerRequest, Route } from '../model'
import { createJobSubmitter, type SubmitJob } from './jobSubmitter'

interface SubmitterWorld {
  jobBudget: MemoryBudget
  decoded: number
  accepted: number
  submitJob: SubmitJob
  answerStore: () => void
  submissions: Array<Promise<Result<void, RefusalError>>>
  refusals: RefusalError[]
}

const ROUTE = {} as unknown as Route
const ASCII = 'a'
const NOT_ASCII = 'é'
const INVALID = '!'

function submit (world: SubmitterWorld, count: number, text: string): void {
  world.decoded = 0
  world.refusals = []
  const body = Buffer.alloc(4 * MIB_BYTES, text)
  world.submissions = Array.from({ length: count }, async (_, index) => {
    const request: CallerRequest = { id: `job-${index}`, host: 'h', method: 'POST', path: '/', headers: [], body }
    const submitted = await world.submitJob(request, ROUTE)
    if (submitted.isOk()) world.accepted += 1
    else world.refusals.push(submitted.error)
    return submitted
  })
}

Given('a budget of {int} MiB for callers, and a store that does not answer', function (this: SubmitterWorld, size: number) {
  this.accepted = 0
  this.jobBudget = createMemoryBudget({ totalBytes: size * MIB_BYTES, clock: { now: () => 0 }, log: createSilentLog() })
  const answered = new Promise<void>((resolve) => { this.answerStore = resolve })
  this.submitJob = createJobSubmitter({
    decodeJob: (body) => {
      this.decoded += 1
      return body[0] === INVALID.charCodeAt(0) ? err(new RefusalError('badRequest')) : ok([])
    },
    jobs: { submit: async () => await answered.then(() => ok(undefined)) },
    memory: this.jobBudget
  })
})

When('{int} jobs of 4 MiB are submitted at once', function (this: SubmitterWorld, count: number) {
  submit(this, count, ASCII)
})

When('{int} jobs of 4 MiB with texts beyond ASCII are submitted at once', function (this: SubmitterWorld, count: number) {
  submit(this, count, NOT_ASCII)
})

When('a job that can\'t be decoded is submitted', async function (this: SubmitterWorld) {
  submit(this, 1, INVALID)
  await Promise.all(this.submissions)
})

When('the store answers', async function (this: SubmitterWorld) {
  this.answerStore()
  await Promise.all(this.submissions)
})

Then('{int} of them are decoded, and {int} are refused as {string}, not run and with a time to come back', async function (
  this: SubmitterWorld, decoded: number, refused: number, reason: string
) {
  await new Promise((resolve) => setImmediate(resolve))
  assert.equal(this.decoded, decoded)
  assert.deepEqual(this.refusals.map((refusal) => refusal.reason), Array(refused).fill(reason))
  assert.ok(this.refusals.every(({ outcome, retryAfterMs }) => outcome === 'not_run' && retryAfterMs! > 0))
})

Then('{int} jobs are accepted, and no memory is in use by jobs', function (this: SubmitterWorld, count: number) {
  assert.equal(this.accepted, count)
  assert.equal(this.jobBudget.usedBytes(), 0)
})
