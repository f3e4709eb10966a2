import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { ok, ResultAsync, type Result } from 'neverthrow'
import { createSilentLog, type PlatformError, type RefusalError } from '../../shared'
import { createJobInputs, type JobInputs } from './jobInputs'
import type { JobItem } from './records'
import { createJobBench, passTime, submitJob, type JobBench } from './testing/jobBench'

interface JobInputsWorld {
  jobBench: JobBench
  submitted: Array<Result<void, RefusalError>>
  inputs: JobInputs
  asked: string[]
  answerInputs: () => void
  calls: Array<Promise<Result<readonly JobItem[] | undefined, PlatformError>>>
  bodyChars: number
}

const ITEMS = 2
const ANSWER_MS = 400

Given('an instance that keeps bodies of at most {int} characters', function (this: JobInputsWorld, maxBodyChars: number) {
  this.jobBench = createJobBench({ limits: { maxBodyChars } })
})

When('{int} jobs of {int} items with bodies of {int} characters are submitted to it', async function (
  this: JobInputsWorld, count: number, items: number, chars: number
) {
  this.submitted = []
  this.bodyChars = chars
  for (let job = 0; job < count; job++) {
    this.submitted.push(await submitJob(this.jobBench, `job-${job}`, items, 'A'.repeat(chars)))
  }
})

Then('all {int} jobs are accepted, with at most {int} characters of bodies in memory', function (
  this: JobInputsWorld, count: number, most: number
) {
  assert.ok(this.submitted.every((one) => one.isOk()))
  const jobs = [...this.jobBench.registry.owned()]
  assert.equal(jobs.length, count)
  const chars = jobs.reduce((sum, job) => sum + job.countBodyChars(), 0)
  assert.ok(chars > 0 && chars <= most, `${chars} characters`)
})

Then('the body of each item is returned whole', async function (this: JobInputsWorld) {
  for (const { id } of this.jobBench.registry.owned()) {
    for (let index = 0; index < ITEMS; index++) {
      const reading = this.jobBench.api.body(id, `${id}-${index}`)
      await passTime(this.jobBench, ANSWER_MS)
      assert.equal(Buffer.from((await reading)._unsafeUnwrap(), 'base64').length, this.bodyChars * 3 / 4)
    }
  }
  this.jobBench.manager.close()
})

Given('inputs of which {int} are read at once, at a platform that does not answer', function (
  this: JobInputsWorld, maxReads: number
) {
  this.asked = []
  const answered = new Promise<void>((resolve) => { this.answerInputs = resolve })
  this.inputs = createJobInputs({
    store: {
      readItems: (job) => {
        this.asked.push(job)
        return new ResultAsync(answered.then(() => ok([])))
      }
    },
    maxReads,
    log: createSilentLog()
  })
})

When('{int} calls ask for the input of each of {int} jobs', function (this: JobInputsWorld, calls: number, jobs: number) {
  this.calls = Array.from({ length: calls * jobs }, async (_, index) => await this.inputs.read(`job-${index % jobs}`))
})

Then('the platform is asked for {int} inputs', function (this: JobInputsWorld, count: number) {
  assert.equal(this.asked.length, count)
})

When('the platform answers for inputs', function (this: JobInputsWorld) {
  this.answerInputs()
})

Then('all calls are answered, and the platform was asked for {int} inputs', async function (
  this: JobInputsWorld, count: number
) {
  for (const answer of await Promise.all(this.calls)) assert.ok(answer.isOk())
  assert.equal(this.asked.length, count)
})
